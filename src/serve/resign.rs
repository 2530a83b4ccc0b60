//! Ends the leadership of this entry so that it cannot begin again in the same epoch.

use std::sync::Arc;

use adapter::store::Error;
use adapter::store::Transaction;
use scheduler::election;
use scheduler::election::Record;
use scheduler::id::Epoch;

use super::Shared;
use super::rows;
use super::sleep;

/// How a leadership ends, with the reason for the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum End {
    /// The store has shown another leader record than that of this epoch.
    Confirmed(&'static str),
    /// The leader record may still name this entry.
    Unconfirmed(&'static str),
}

impl End {
    pub(super) const fn reason(self) -> &'static str {
        match self {
            Self::Confirmed(reason) | Self::Unconfirmed(reason) => reason,
        }
    }
}

/// Gives up the leadership. It ends before the store shows that there is no leader, because another
/// entry takes the lead at once when it reads that.
pub(super) fn resign(shared: &Shared) {
    if let Some(leadership) = shared.leadership() {
        leadership.end(End::Unconfirmed("resigned"));
    }
}

/// Resigns and retries until the store confirms it, because leading again in the same epoch would
/// reuse run numbers.
pub(super) async fn resign_until_confirmed(shared: &Shared, epoch: Epoch) {
    while let Err(error) = write_vacant_record(shared, epoch).await {
        if matches!(error, Error::Conflict(_)) {
            return;
        }
        log::warn!("kind=resign-failed cause={:?}", error.to_string());
        sleep(election::CHECK_INTERVAL).await;
    }
}

/// Writes a leader record without an entry, if the record still has this epoch.
async fn write_vacant_record(shared: &Shared, epoch: Epoch) -> Result<(), Error> {
    let record = Record {
        entry: None,
        instance: shared.instance,
        address: Arc::from(""),
    };
    let transaction = Transaction {
        expected: vec![(rows::record(), epoch.0)],
        puts: vec![(rows::record(), rows::encode(&record))],
        removed: Vec::new(),
    };
    shared.store.transact(&transaction).await.map(drop)
}
