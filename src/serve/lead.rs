//! Leads on this entry in one epoch: starts the tasks of the leadership and runs its driver.

use std::sync::Arc;

use decision::clock::Ms;
use scheduler::id::Epoch;
use scheduler::leader::Event;
use scheduler::leader::Tally;

use super::Shared;
use super::driver::Driver;
use super::feeds;
use super::inbox;
use super::leadership;
use super::leadership::Input;
use super::leadership::Leadership;
use super::lock;
use super::own_agent;
use super::resign;
use super::resign::End;
use super::rows;

/// Leads in this epoch until the leadership ends.
pub(super) async fn run(shared: &Arc<Shared>, epoch: Epoch, store_time: Ms) {
    let (inputs, inbox) = inbox::new();
    let leadership = Arc::new(Leadership::new(epoch, store_time, inputs.clone()));
    log::info!("kind=lead-begun epoch={epoch}");
    shared.instruments.record_lead();
    *lock(&shared.leadership) = Some(Arc::clone(&leadership));
    let spawn = |task| shared.spawner.spawn(task);
    let tasks = [
        spawn(Box::pin(feeds::follow_jobs(
            Arc::clone(shared),
            Arc::clone(&leadership),
            inputs.clone(),
        )) as BoxedTask),
        spawn(Box::pin(feeds::follow_workers(
            Arc::clone(shared),
            inputs.clone(),
        ))),
        spawn(Box::pin(leadership::write_heartbeats(
            Arc::clone(shared),
            Arc::clone(&leadership),
        ))),
        spawn(Box::pin(load_interference(
            Arc::clone(shared),
            Arc::clone(&leadership),
        ))),
        spawn(Box::pin(own_agent::run(
            Arc::clone(shared),
            Arc::clone(&leadership),
        ))),
    ];
    let mut driver = Driver::new(shared, &leadership, inbox);
    let end = driver.run().await;
    drop(tasks);
    *lock(&shared.leadership) = None;
    shared.agent.end_session(epoch);
    shared.instruments.record_tally(Tally::default());
    log::warn!("kind=lead-ended epoch={epoch} reason={:?}", end.reason());
    if let End::Unconfirmed(_) = end {
        resign::resign_until_confirmed(shared, epoch).await;
    }
}

type BoxedTask = std::pin::Pin<Box<dyn Future<Output = ()> + Send>>;

/// Reads the interference coefficients that earlier leaders stored. Without them the leader learns
/// them again from measurements.
async fn load_interference(shared: Arc<Shared>, leadership: Arc<Leadership>) {
    let row = match shared.store.row(&rows::interference()).await {
        Ok((Some(row), _)) => row,
        Ok((None, _)) => return,
        Err(error) => {
            return log::warn!("kind=recall-failed cause={:?}", error.to_string());
        }
    };
    match rows::decode(&row) {
        Ok(summary) => {
            let event = Event::InterferenceLoaded(summary);
            leadership.send_result(Input::Event(event)).await;
        }
        Err(error) => log::warn!("kind=recall-failed cause={:?}", error.to_string()),
    }
}
