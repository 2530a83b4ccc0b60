//! Writes for customers, straight to the store or through the leader.

use std::time::Duration;

use adapter::store;
use adapter::store::Transaction;
use scheduler::message::Request;
use scheduler::message::Storage;
use smol::Timer;
use smol::future::FutureExt;

use super::Shared;
use super::rows;

/// How long the leader may take to write for this entry.
const RELAY: Duration = Duration::from_millis(1_000);

/// Makes a write durable. The leader is asked when the store does not serve this entry; to write
/// twice has no further effect.
pub(super) async fn keep(shared: &Shared, request: Request) -> Storage {
    if shared.is_stored() {
        return write(shared, &request).await;
    }
    match relay(shared, request.clone()).await {
        Some(relayed @ (Storage::Done | Storage::Again)) => relayed,
        Some(relayed) => either(relayed, write(shared, &request).await),
        None => write(shared, &request).await,
    }
}

/// What is known of a write that was tried in two ways.
const fn either(first: Storage, second: Storage) -> Storage {
    match (first, second) {
        (Storage::Done | Storage::Again, _) => first,
        (_, Storage::Done | Storage::Again) => second,
        (Storage::Refused, Storage::Refused) => Storage::Refused,
        _ => Storage::Unknown,
    }
}

async fn relay(shared: &Shared, request: Request) -> Option<Storage> {
    shared.agent.beat()?;
    let late = async {
        Timer::after(RELAY).await;
        Some(Storage::Unknown)
    };
    let storage = shared.agent.store(request).or(late).await;
    log::info!("kind=write-relayed outcome={storage:?}");
    storage
}

/// Writes to the store.
pub(super) async fn write(shared: &Shared, request: &Request) -> Storage {
    let transaction = match request {
        Request::Accept(job, accepted) => Transaction {
            expected: vec![(rows::accepted(*job), 0)],
            puts: vec![(rows::accepted(*job), rows::encode(accepted))],
            removed: Vec::new(),
        },
        Request::Cancel(job) => Transaction {
            expected: Vec::new(),
            puts: vec![(rows::cancelled(*job), Vec::new())],
            removed: Vec::new(),
        },
    };
    match shared.store.transact(&transaction).await {
        Ok(_) => Storage::Done,
        Err(store::Error::Conflict(_)) => Storage::Again,
        Err(store::Error::Refused(cause)) => {
            log::warn!("kind=write-refused cause={cause:?}");
            Storage::Refused
        }
        Err(error) => {
            log::warn!("kind=write-unknown cause={:?}", error.to_string());
            Storage::Unknown
        }
    }
}
