//! Models the runs of requests on workers, with their slots, connections and run times.

use decision::name::Name;
use decision::request::Answer as RequestAnswer;
use decision::request::Call;
use decision::request::Ending;
use decision::worker::Epoch;
use decision::worker::Refusal;
use history::Fact;
use history::answer;

use crate::case::Mistake;
use crate::fleet::Activity;
use crate::fleet::Request;
use crate::fleet::Run;
use crate::queue::MS;
use crate::queue::Us;
use crate::simulation::Answer;
use crate::simulation::Correlation;
use crate::simulation::Event;
use crate::simulation::Simulation;

/// The time after which a faulty worker fails a request.
const FAILURE_DELAY: Us = 5 * MS;

/// The maximum number of requests that wait for a slot. A worker accepts about 60 connections, 8 of
/// which are in use when all slots are.
const MAX_WAITING: usize = 52;

impl Simulation<'_> {
    pub(crate) fn send_run(&mut self, vm: &Name, request: Request) {
        let correlation = request.correlation;
        let now = self.queue.now();
        let Some(vm) = self.worker_index(vm) else {
            return self.schedule_answer(correlation, MS, Answer::Unreachable);
        };
        if self.fleet.workers[vm].acquire_connection(correlation.entry, now) {
            return;
        }
        self.fleet.sent.insert(correlation, vm);
        let latency = self.worker_latency(correlation, vm);
        self.queue
            .schedule_after(latency, Event::Worker(vm, Activity::Run(request)));
    }

    /// Closes the connection of a request. The worker notices it unless the connection is silent.
    pub(crate) fn cancel_run(&mut self, correlation: Correlation) {
        let Some(vm) = self.fleet.sent.remove(&correlation) else {
            return;
        };
        if !self.fleet.silent_runs.contains(&correlation) {
            let latency = self.worker_latency(correlation, vm);
            self.queue
                .schedule_after(latency, Event::Worker(vm, Activity::Cancel(correlation)));
        }
    }

    pub(crate) fn receive_run(&mut self, vm: usize, request: Request) {
        let unfenced = self.setup.mistake == Some(Mistake::NoFence);
        let worker = &mut self.fleet.workers[vm];
        let newest = worker.model.report().epoch;
        let epoch = if unfenced { newest } else { request.epoch };
        match worker.model.begin(epoch, attempt_number(&request.id)) {
            Ok(()) => self.start_run(vm, epoch, request),
            Err(Refusal::Full) => self.queue_run(vm, request),
            Err(_) => {
                let latency = self.worker_latency(request.correlation, vm);
                self.schedule_answer(request.correlation, latency, Answer::Ended(Ending::NotRun));
            }
        }
    }

    /// Lets a request wait on its connection while all slots are in use, or answers that it was not
    /// run if too many requests wait already.
    fn queue_run(&mut self, vm: usize, request: Request) {
        let name = self.scenario.vms[vm].name.clone();
        let work = request.id.clone();
        self.record(Fact::Overfull { vm: name, work });
        let waiting = &mut self.fleet.workers[vm].waiting;
        if waiting.len() < MAX_WAITING {
            return waiting.push_back(request);
        }
        let latency = self.worker_latency(request.correlation, vm);
        self.schedule_answer(request.correlation, latency, Answer::Ended(Ending::NotRun));
    }

    fn start_run(&mut self, vm: usize, slot_epoch: Epoch, request: Request) {
        let Request {
            correlation,
            id,
            epoch,
            call,
        } = request;
        let now = self.queue.now();
        let worker = &self.fleet.workers[vm];
        let request = request_index(&call);
        let spec = &self.scenario.requests[request];
        let interference = worker.interference(self.scenario, spec.kind, now);
        let run_time = (spec.work as f64 * (1.0 + interference / 100.0)) as Us;
        let run_time = if worker.model.broken {
            FAILURE_DELAY
        } else {
            run_time
        };
        self.record(Fact::RunStarted {
            vm: self.scenario.vms[vm].name.clone(),
            id: id.clone(),
            epoch,
            body: call.body.clone(),
        });
        let run = Run {
            vm,
            id,
            epoch: slot_epoch,
            call,
            run_time,
        };
        self.fleet.runs.insert(correlation, run);
        let finished = Event::Worker(vm, Activity::Finished(correlation));
        self.queue.schedule_after(run_time, finished);
    }

    fn end_run(&mut self, correlation: Correlation) -> Option<Run> {
        let run = self.fleet.runs.remove(&correlation)?;
        self.fleet.sent.remove(&correlation);
        let worker = &mut self.fleet.workers[run.vm];
        worker.model.finish(run.epoch, attempt_number(&run.id));
        if let Some(pool) = worker.pools.get_mut(&correlation.entry) {
            pool.open = pool.open.saturating_sub(1);
        }
        let vm = self.scenario.vms[run.vm].name.clone();
        let id = run.id.clone();
        self.record(Fact::RunEnded { vm, id });
        Some(run)
    }

    /// Ends the run or the wait of a request whose sender closed the connection.
    pub(crate) fn handle_cancel(&mut self, vm: usize, correlation: Correlation) {
        let waiting = &mut self.fleet.workers[vm].waiting;
        waiting.retain(|request| request.correlation != correlation);
        if self.end_run(correlation).is_some() {
            self.start_waiting_runs(vm);
        }
    }

    fn start_waiting_runs(&mut self, vm: usize) {
        let slots = self.scenario.vms[vm].slots;
        while self.fleet.workers[vm].model.busy() < slots {
            let Some(request) = self.fleet.workers[vm].waiting.pop_front() else {
                return;
            };
            self.receive_run(vm, request);
        }
    }

    pub(crate) fn finish_run(&mut self, vm: usize, correlation: Correlation) {
        let now = self.queue.now();
        let Some(run) = self.end_run(correlation) else {
            return;
        };
        self.start_waiting_runs(vm);
        let silent = self.fleet.silent_runs.remove(&correlation);
        let worker = &self.fleet.workers[vm];
        if silent || worker.partitioned_until > now {
            return;
        }
        let ending = if worker.model.broken {
            Ending::Unknown
        } else {
            let request = request_index(&run.call);
            self.fleet.run_times[request] = run.run_time;
            Ending::Answered(RequestAnswer {
                status: 200,
                body: answer(&run.call.body),
            })
        };
        let latency = self.worker_latency(correlation, vm);
        self.schedule_answer(correlation, latency, Answer::Ended(ending));
    }
}

fn request_index(call: &Call) -> usize {
    let text = std::str::from_utf8(&call.body).ok();
    let number = text.and_then(|text| text.split('-').nth(1)?.parse().ok());
    number.expect("bodies of the harness hold the request's number")
}

/// The number of an attempt, which is the last part of its id in hexadecimal.
fn attempt_number(id: &str) -> u64 {
    let last = id.rsplit('/').next().unwrap_or_default();
    u64::from_str_radix(last, 16).unwrap_or_default()
}
