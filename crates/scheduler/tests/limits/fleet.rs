//! Workers that do what they are told, and the agent that polls them, in virtual time.

use std::collections::BTreeMap;
use std::sync::Arc;

use decision::clock::Ms;
use decision::name::Name;
use decision::resource::Size;
use scheduler::config::Config;
use scheduler::fleet::Registration;
use scheduler::id;
use scheduler::id::Epoch;
use scheduler::leader::Action;
use scheduler::leader::Bounds;
use scheduler::leader::Commit;
use scheduler::leader::Event;
use scheduler::leader::Leader;
use scheduler::message::End;
use scheduler::message::Observation;
use scheduler::message::Order;
use scheduler::message::Outcome;
use scheduler::message::Placement;
use scheduler::message::Report;
use scheduler::message::Running;
use scheduler::message::Termination;
use scheduler::progress::Stage;

/// The most actions that one event may require: two for each task of a job and some more.
const MAX_ACTIONS: usize = 45_000;
const INCARNATION: Ms = Ms(77);
const ROUND: Ms = Ms(50);
const BOUNDS: Bounds = Bounds {
    lease: Ms(6_000),
    retention: Ms(120_000),
    harm: Ms(4_000),
};

pub fn name(raw: &str) -> Name {
    Name::try_from(raw).expect("test names are valid")
}

#[derive(Default)]
struct Worker {
    running: BTreeMap<Placement, bool>,
    ended: Vec<End>,
    last_end: u64,
}

impl Worker {
    fn end(&mut self, run: &Placement, termination: Termination) {
        if self.running.remove(run).is_none() {
            return;
        }
        self.last_end += 1;
        self.ended.push(End {
            number: self.last_end,
            task: run.task,
            run: run.run,
            termination,
            checkpoint: None,
        });
    }
}

/// A leader with its workers.
pub struct Fleet {
    pub leader: Leader,
    /// The commits so far.
    pub commits: Vec<Commit>,
    workers: BTreeMap<Name, Worker>,
    now: Ms,
    unix: Ms,
    /// Tasks of these steps run until they are stopped.
    lasting: Vec<u16>,
}

impl Fleet {
    /// Begins a leader at a time of its clock and a time of day, with workers of these sizes.
    pub fn begin(now: Ms, unix: Ms, config: Config, sizes: &[Size], lasting: Vec<u16>) -> Self {
        let mut fleet = Self {
            leader: Leader::new(name("e"), Epoch(7), BOUNDS, now),
            commits: Vec::new(),
            workers: BTreeMap::new(),
            now,
            unix,
            lasting,
        };
        fleet.handle(Event::Tick(unix));
        fleet.handle(Event::Config(Arc::new(config)));
        fleet.handle(Event::Joined(name("e"), name("d")));
        for (index, &size) in sizes.iter().enumerate() {
            let worker = name(&format!("w{index}"));
            fleet.workers.insert(worker.clone(), Worker::default());
            let registration = Registration {
                service: name("service"),
                address: Arc::from(format!("10.0.0.{index}:1")),
                domain: name("d"),
                size,
                labels: vec![name("kind"), name(&format!("r{}", index % 2))],
                incarnation: INCARNATION,
                is_draining: false,
            };
            fleet.handle(Event::RegistrationChanged(worker, Some(registration)));
        }
        fleet
    }

    /// Handles an event and carries out what it requires.
    pub fn handle(&mut self, event: Event) {
        let actions = self.leader.handle(self.now, event);
        self.carry_out(actions);
    }

    /// Passes time until the job has ended, for at most this number of rounds. Returns whether it
    /// has.
    pub fn run(&mut self, job: id::Job, rounds: usize) -> bool {
        for _ in 0..rounds {
            self.round();
            if matches!(self.leader.stage(job), Some(Stage::Ended(_))) {
                return true;
            }
        }
        false
    }

    /// Polls all workers, ends what has been listed as running, and lets the leader start tasks.
    pub fn round(&mut self) {
        self.now += ROUND;
        self.unix += ROUND;
        self.handle(Event::LeadConfirmed(self.now));
        let names: Vec<Name> = self.workers.keys().cloned().collect();
        for name in names {
            self.poll(&name);
        }
        self.handle(Event::Tick(self.unix));
        let actions = self.leader.schedule(self.now);
        self.carry_out(actions);
    }

    fn poll(&mut self, name: &Name) {
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        let mut done = Vec::new();
        for (run, is_listed) in &mut worker.running {
            if *is_listed && !self.lasting.contains(&run.task.step.step) {
                done.push(run.clone());
            }
            *is_listed = true;
        }
        for run in done {
            worker.end(&run, Termination::Done);
        }
        let running = worker.running.keys().map(|run| Running {
            task: run.task,
            run: run.run,
            checkpoint: None,
            percent: 50,
            measurement: 1,
        });
        let observation = Observation {
            worker: name.clone(),
            incarnation: INCARNATION,
            polled_at: self.now,
            running: Some(running.collect()),
            ended: worker.ended.iter().take(500).cloned().collect(),
        };
        self.report(Report::Polled(observation));
    }

    pub fn report(&mut self, report: Report) {
        self.handle(Event::Received(name("e"), report));
    }

    fn carry_out(&mut self, actions: Vec<Action>) {
        assert!(actions.len() <= MAX_ACTIONS, "{} actions", actions.len());
        for action in actions {
            match action {
                Action::Send(_, order) => self.obey(order),
                Action::Commit(commit) => {
                    self.commits.push(commit);
                    self.handle(Event::Committed);
                }
                Action::Resign(reason) => panic!("the leader resigns: {reason}"),
                Action::Advise(step, _) => self.handle(Event::AdviceFailed(step)),
                Action::Log(_) => {}
            }
        }
    }

    fn obey(&mut self, order: Order) {
        match order {
            Order::Start(start) => {
                let run = start.placement();
                if let Some(worker) = self.workers.get_mut(&run.worker) {
                    worker.running.insert(run.clone(), false);
                }
                self.report(Report::Started(run, Outcome::Done));
            }
            Order::Stop(run) | Order::Void(run) => {
                if let Some(worker) = self.workers.get_mut(&run.worker) {
                    worker.end(&run, Termination::Stopped);
                }
                self.report(Report::Stopped(run, Outcome::Done, self.now));
            }
            Order::Watch(watch) => {
                if let (Some(worker), Some((_, upto))) =
                    (self.workers.get_mut(&watch.worker), watch.acknowledged)
                {
                    worker.ended.retain(|end| end.number > upto);
                }
            }
            _ => {}
        }
    }
}
