//! Writes for customers, made directly to the store or relayed through the leader.

use std::time::Duration;

use adapter::store;
use adapter::store::Transaction;
use scheduler::id::Job;
use scheduler::message::Request;
use scheduler::message::Storage;
use smol::Timer;
use smol::future::FutureExt;

use super::Shared;
use super::rows;

/// The time limit for a write relayed through the leader.
const RELAY_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Makes a customer's write durable, through the leader if the store does not serve this entry.
/// Writing twice has no further effect.
///
/// With neither the store nor a leader available nothing is attempted, so that [`Storage::Refused`]
/// means that the write was certainly not made.
pub(super) async fn persist(shared: &Shared, request: Request) -> Storage {
    if shared.is_store_available() {
        let storage = write(shared, &request).await;
        if let (Request::Cancel(job), Storage::Done) = (request, storage) {
            shared.agent.report_cancellation(job);
        }
        return storage;
    }
    if shared.leadership().is_some() {
        return Storage::Refused;
    }
    relay(shared, request).await.unwrap_or(Storage::Refused)
}

/// Makes a write, as the leader, for an agent that the store does not serve.
pub(super) async fn write_for_agent(shared: &Shared, request: &Request) -> Storage {
    if shared.is_store_available() {
        write(shared, request).await
    } else {
        Storage::Refused
    }
}

/// Requests the write from the leader. `None` means that no request was sent.
async fn relay(shared: &Shared, request: Request) -> Option<Storage> {
    shared.agent.heartbeat()?;
    let timeout = async {
        Timer::after(RELAY_TIMEOUT).await;
        Some(Storage::Unknown)
    };
    let storage = shared.agent.request_write(request).or(timeout).await;
    log::info!("kind=write-relayed outcome={storage:?}");
    storage
}

async fn write(shared: &Shared, request: &Request) -> Storage {
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
    transact(shared, &transaction).await
}

/// Stores the cancellation of a job that the store does not hold. [`Storage::Again`] means that it
/// does hold the job.
pub(super) async fn cancel_unknown(shared: &Shared, job: Job) -> Storage {
    let transaction = Transaction {
        expected: vec![(rows::accepted(job), 0)],
        puts: vec![(rows::cancelled(job), Vec::new())],
        removed: Vec::new(),
    };
    transact(shared, &transaction).await
}

async fn transact(shared: &Shared, transaction: &Transaction) -> Storage {
    let result = shared.store.transact(transaction).await;
    shared.record_write(!matches!(result, Err(store::Error::Unknown(_))));
    match result {
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
