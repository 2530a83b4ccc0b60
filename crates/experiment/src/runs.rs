//! Requests at workers: slots, connections, run times.

use decision::name::Name;
use decision::request::Answer as Whole;
use decision::request::Call;
use decision::request::Ending;
use decision::worker::Epoch;
use decision::worker::Refusal;
use history::Fact;
use history::answer;

use crate::agenda::MS;
use crate::agenda::Us;
use crate::case::Mistake;
use crate::fleet::Request;
use crate::fleet::Run;
use crate::fleet::Work;
use crate::world::Answer;
use crate::world::Back;
use crate::world::Happening;
use crate::world::World;

/// A worker that fails everything does so after this time.
const FAIL: Us = 5 * MS;

/// A worker has about 60 connections, 8 of which are in use when all slots are.
const WAITING: usize = 52;

impl World<'_> {
    pub(crate) fn send_run(&mut self, vm: &Name, request: Request) {
        let back = request.back;
        let now = self.agenda.now();
        let Some(vm) = self.worker(vm) else {
            return self.answer(back, MS, Answer::Unreachable);
        };
        if self.fleet.workers[vm].connect(back.entry, now) {
            return;
        }
        self.fleet.sent.insert(back, vm);
        let hop = self.reach(back, vm);
        self.agenda
            .after(hop, Happening::Worker(vm, Work::Run(request)));
    }

    /// Closes the connection of a request, which the worker sees unless the connection is silent.
    pub(crate) fn cancel_run(&mut self, back: Back) {
        let Some(vm) = self.fleet.sent.remove(&back) else {
            return;
        };
        if !self.fleet.silent.contains(&back) {
            let hop = self.reach(back, vm);
            self.agenda
                .after(hop, Happening::Worker(vm, Work::Cancel(back)));
        }
    }

    pub(crate) fn run(&mut self, vm: usize, request: Request) {
        let unfenced = self.setup.mistake == Some(Mistake::NoFence);
        let worker = &mut self.fleet.workers[vm];
        let newest = worker.model.report().epoch;
        let epoch = if unfenced { newest } else { request.epoch };
        match worker.model.begin(epoch, number(&request.id)) {
            Ok(()) => self.begin(vm, epoch, request),
            Err(Refusal::Full) => self.wait(vm, request),
            Err(_) => {
                let hop = self.reach(request.back, vm);
                self.answer(request.back, hop, Answer::Ended(Ending::NotRun));
            }
        }
    }

    /// All slots are taken: the request waits on its connection, if there is one left.
    fn wait(&mut self, vm: usize, request: Request) {
        let name = self.scene.vms[vm].name.clone();
        let work = request.id.clone();
        self.see(Fact::Overfull { vm: name, work });
        let waiting = &mut self.fleet.workers[vm].waiting;
        if waiting.len() < WAITING {
            return waiting.push_back(request);
        }
        let hop = self.reach(request.back, vm);
        self.answer(request.back, hop, Answer::Ended(Ending::NotRun));
    }

    fn begin(&mut self, vm: usize, shown: Epoch, request: Request) {
        let Request {
            back,
            id,
            epoch,
            call,
        } = request;
        let now = self.agenda.now();
        let worker = &self.fleet.workers[vm];
        let request = request_of(&call);
        let spec = &self.scene.requests[request];
        let harm = worker.harm(self.scene, spec.kind, now);
        let took = (spec.work as f64 * (1.0 + harm / 100.0)) as Us;
        let took = if worker.model.broken { FAIL } else { took };
        self.see(Fact::RunStarted {
            vm: self.scene.vms[vm].name.clone(),
            id: id.clone(),
            epoch,
            body: call.body.clone(),
        });
        let run = Run {
            vm,
            id,
            epoch: shown,
            call,
            took,
        };
        self.fleet.runs.insert(back, run);
        let ran = Happening::Worker(vm, Work::Ran(back));
        self.agenda.after(took, ran);
    }

    fn end_run(&mut self, back: Back) -> Option<Run> {
        let run = self.fleet.runs.remove(&back)?;
        self.fleet.sent.remove(&back);
        let worker = &mut self.fleet.workers[run.vm];
        worker.model.finish(run.epoch, number(&run.id));
        if let Some(link) = worker.links.get_mut(&back.entry) {
            link.open = link.open.saturating_sub(1);
        }
        let vm = self.scene.vms[run.vm].name.clone();
        let id = run.id.clone();
        self.see(Fact::RunEnded { vm, id });
        Some(run)
    }

    /// The sender closed the connection.
    pub(crate) fn cancelled(&mut self, vm: usize, back: Back) {
        let waiting = &mut self.fleet.workers[vm].waiting;
        waiting.retain(|request| request.back != back);
        if self.end_run(back).is_some() {
            self.next_waiting(vm);
        }
    }

    fn next_waiting(&mut self, vm: usize) {
        let slots = self.scene.vms[vm].slots;
        while self.fleet.workers[vm].model.busy() < slots {
            let Some(request) = self.fleet.workers[vm].waiting.pop_front() else {
                return;
            };
            self.run(vm, request);
        }
    }

    pub(crate) fn ran(&mut self, vm: usize, back: Back) {
        let now = self.agenda.now();
        let Some(run) = self.end_run(back) else {
            return;
        };
        self.next_waiting(vm);
        let silent = self.fleet.silent.remove(&back);
        let worker = &self.fleet.workers[vm];
        if silent || worker.cut > now {
            return;
        }
        let ending = if worker.model.broken {
            Ending::Unknown
        } else {
            let request = request_of(&run.call);
            self.fleet.took[request] = run.took;
            Ending::Answered(Whole {
                status: 200,
                body: answer(&run.call.body),
            })
        };
        let hop = self.reach(back, vm);
        self.answer(back, hop, Answer::Ended(ending));
    }
}

fn request_of(call: &Call) -> usize {
    let text = std::str::from_utf8(&call.body).ok();
    let number = text.and_then(|text| text.split('-').nth(1)?.parse().ok());
    number.expect("bodies of the harness hold the request's number")
}

/// The number of an attempt, the last part of its id.
fn number(id: &str) -> u64 {
    let last = id.rsplit('/').next().unwrap_or_default();
    u64::from_str_radix(last, 16).unwrap_or_default()
}
