//! The steps of the demo: operator calls, and the stop of an entry.

use std::thread;
use std::time::Duration;

use decision::clock::Ms;
use decision::config::Version;
use decision::operator::Action;
use decision::operator::Call;
use decision::operator::Job;
use decision::operator::Reply;
use decision::resource::Size;
use history::Fact;
use history::Life;
use operator::client::Client;

use super::Demo;
use super::Error;
use super::POLL_INTERVAL;
use super::READY_TIMEOUT;
use super::setup::document;
use super::setup::name;

const TASK_COUNT: u32 = 48;
const CALL_TIMEOUT: Duration = Duration::from_millis(12_000);

impl Demo {
    pub(super) fn configure(&mut self, expected: u64, queue: u32) -> Result<(), Error> {
        let action = Action::Reconfigure {
            expected: Version(expected),
            document: document(queue),
            dry_run: false,
        };
        match self.call(action)? {
            Reply::Configured { .. } => Ok(()),
            other => Err(Error::Step(format!("reconfigure: {other:?}"))),
        }
    }

    pub(super) fn submit(&mut self) -> Result<(), Error> {
        let size = Size {
            millicores: 2_000,
            memory_mb: 4_000,
            accelerators: 0,
        };
        let job = Job {
            name: name(&format!("renders-{}", self.options.seed)),
            team: name("shop"),
            kind: name("render"),
            tasks: TASK_COUNT,
            size,
            run_time: Ms(1_000),
            urgent: false,
        };
        self.expect_accepted(Action::Submit(job))
    }

    pub(super) fn drain(&mut self) -> Result<(), Error> {
        let vm = self
            .fleet
            .first_worker()
            .ok_or_else(|| Error::Step("there is no worker".into()))?;
        self.expect_accepted(Action::Drain { vm, leave: true })
    }

    fn expect_accepted(&mut self, action: Action) -> Result<(), Error> {
        match self.call(action.clone())? {
            Reply::Accepted => Ok(()),
            other => Err(Error::Step(format!("{action:?}: {other:?}"))),
        }
    }

    /// Sends a call to the first live entry and repeats it with the same id while its outcome is
    /// unknown or the entry is unavailable.
    fn call(&mut self, action: Action) -> Result<Reply, Error> {
        self.calls += 1;
        let call = Call {
            id: name(&format!("call-{}", self.calls)),
            action,
        };
        self.record(Fact::Called { call: call.clone() });
        let until = self.now() + READY_TIMEOUT;
        loop {
            let reply = self.send(&call)?;
            let is_retryable = matches!(
                reply,
                Reply::Unknown | Reply::Refused(decision::operator::Refusal::Unavailable)
            );
            if !is_retryable || self.now() > until {
                self.record(Fact::Replied {
                    call: call.id,
                    reply: reply.clone(),
                });
                return Ok(reply);
            }
            thread::sleep(POLL_INTERVAL);
        }
    }

    fn send(&self, call: &Call) -> Result<Reply, Error> {
        let (_, daemon) = self
            .live_entries()
            .next()
            .ok_or_else(|| Error::Step("no entry is live".into()))?;
        let address = daemon.operator();
        let sent = async {
            let mut client = Client::connect(&self.spawner, address, CALL_TIMEOUT).await?;
            client.call(call).await
        };
        Ok(smol::block_on(sent)?)
    }

    /// Stops an entry as the platform does: removes it from the load balancer first, then stops it
    /// gracefully.
    pub(super) fn stop_entry(&mut self, index: usize) -> Result<(), Error> {
        let entry = self.entries[index].name.clone();
        let Some(daemon) = self.entries[index].daemon.take() else {
            return Ok(());
        };
        let mut endpoints = self
            .shop
            .endpoints
            .lock()
            .expect("no holder of this lock panics");
        endpoints.retain(|endpoint| endpoint.entry != entry);
        drop(endpoints);
        self.record(Fact::Entry {
            entry: entry.clone(),
            life: Life::Stopping,
        });
        let is_graceful = daemon.stop(true);
        self.record(Fact::Entry {
            entry: entry.clone(),
            life: Life::Exited,
        });
        if is_graceful {
            Ok(())
        } else {
            Err(Error::Step(format!("{entry} did not stop in time")))
        }
    }
}
