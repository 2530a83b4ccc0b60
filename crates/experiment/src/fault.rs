//! Schedules the faults of a run and applies them to the models.

use history::Life;
use rand::RngExt;
use rand::rngs::StdRng;

use crate::case::Fault;
use crate::platform::STORE_FAULT_DURATION;
use crate::queue::SECOND;
use crate::queue::Us;
use crate::scenario::WARM_UP;
use crate::scenario::distinct_indices;
use crate::scenario::seeded_rng;
use crate::simulation::Event;
use crate::simulation::Simulation;

/// One in this many workers has connections that go silent.
const SILENT_FRACTION: usize = 3;

/// One step of fault injection, which starts or ends a fault.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Injection {
    /// The store goes down, becomes slow or becomes healthy.
    Store { outage: bool, slow: bool },
    /// Answers to commits begin or cease to be lost.
    LoseCommitAnswers(bool),
    /// The process of an entry crashes.
    CrashEntry(usize),
    /// An entry is paused for a duration.
    PauseEntry(usize, Us),
    /// An entry's pause ends, unless it was extended.
    ResumeEntry(usize),
    /// The rack of a worker is cut off from the network for a duration.
    PartitionRack(usize, Us),
    /// The VM of a worker crashes.
    CrashVm(usize),
    /// Established connections to some workers go silent, and some commands are lost or late.
    SilenceConnections,
    /// All commands arrive in time again.
    RestoreCommands,
    /// Operators send conflicting calls.
    ConflictingCalls,
}

impl Simulation<'_> {
    pub(crate) fn schedule_faults(&mut self) {
        for fault in self.setup.faults.clone() {
            let seed = self.scenario.parameters.seed;
            let mut random = seeded_rng(seed, fault.name());
            for (at, injection) in self.injections(fault, &mut random) {
                let at = WARM_UP + at;
                self.queue.schedule_at(at, Event::Fault(injection));
            }
        }
    }

    /// Returns the steps of a fault with their times after the warm-up, which depend on the seed.
    /// Some faults occur twice in a run.
    fn injections(&self, fault: Fault, random: &mut StdRng) -> Vec<(Us, Injection)> {
        let window = self.scenario.parameters.window;
        let mut early = || random.random_range(window / 10..window / 3);
        let (first, second) = (early(), early() + window / 2);
        let store = |outage, slow| Injection::Store { outage, slow };
        let entries = self.scenario.parameters.entries;
        let vms = self.scenario.vms.len();
        let pair = distinct_indices(random, 2, entries);
        match fault {
            Fault::StoreOutage => {
                vec![
                    (first, store(true, false)),
                    (first + STORE_FAULT_DURATION, store(false, false)),
                ]
            }
            Fault::StoreSlow => {
                vec![
                    (first, store(false, true)),
                    (first + STORE_FAULT_DURATION, store(false, false)),
                ]
            }
            Fault::LostWriteAnswer => {
                vec![
                    (0, Injection::LoseCommitAnswers(true)),
                    (window, Injection::LoseCommitAnswers(false)),
                ]
            }
            Fault::LeaseLapse => {
                let rack = random.random_range(0..vms);
                let long = 26 * SECOND;
                vec![
                    (first, Injection::PauseEntry(pair[0], long)),
                    (first + 3 * SECOND, Injection::PartitionRack(rack, long)),
                ]
            }
            Fault::EntryCrash => {
                vec![
                    (first, Injection::CrashEntry(pair[0])),
                    (second, Injection::CrashEntry(pair[1])),
                ]
            }
            Fault::EntryPause => vec![
                (first, Injection::PauseEntry(pair[0], 12 * SECOND)),
                (second, Injection::PauseEntry(pair[1], 4 * SECOND)),
            ],
            Fault::VmCrash => {
                let count = (vms / 16).max(1);
                let chosen = distinct_indices(random, count, vms).into_iter();
                chosen
                    .map(|vm| {
                        (
                            random.random_range(0..window * 3 / 4),
                            Injection::CrashVm(vm),
                        )
                    })
                    .collect()
            }
            Fault::SilentConnections => vec![
                (first, Injection::SilenceConnections),
                (first + 4 * SECOND, Injection::RestoreCommands),
                (second, Injection::SilenceConnections),
                (second + 4 * SECOND, Injection::RestoreCommands),
            ],
            Fault::OperatorRace => {
                let times = (0..10).map(|step| step * window / 10);
                times.map(|at| (at, Injection::ConflictingCalls)).collect()
            }
        }
    }

    pub(crate) fn inject(&mut self, injection: Injection) {
        match injection {
            Injection::Store { outage, slow } => self.set_store_faults(outage, slow),
            Injection::LoseCommitAnswers(losing) => {
                let (outage, slow) = (self.platform.outage, self.platform.slow);
                self.platform.losing_answers = losing;
                let healthy = !losing && !outage && !slow;
                self.record(history::Fact::Store { healthy });
            }
            Injection::CrashEntry(entry) => self.crash_entry(entry),
            Injection::PauseEntry(entry, time) => self.pause_entry(entry, time),
            Injection::ResumeEntry(entry) => {
                let still_paused = self.entries[entry].paused_until > self.queue.now();
                if self.entries[entry].alive && !still_paused {
                    self.record_life(entry, Life::Resumed);
                }
            }
            Injection::PartitionRack(worker, time) => self.partition_rack(worker, time),
            Injection::CrashVm(vm) => {
                if self.fleet.workers[vm].crashed_at.is_none() {
                    self.crash_worker(vm);
                }
            }
            Injection::SilenceConnections => self.silence_some_workers(),
            Injection::RestoreCommands => self.commands_reliable = true,
            Injection::ConflictingCalls => self.send_conflicting_calls(),
        }
    }

    fn crash_entry(&mut self, entry: usize) {
        if !self.entries[entry].alive {
            return;
        }
        self.entries[entry].alive = false;
        self.record_life(entry, Life::Crashed);
        self.break_connections(entry);
        self.queue
            .schedule_after(6 * SECOND, Event::StartEntry(entry));
    }

    fn pause_entry(&mut self, entry: usize, time: Us) {
        if !self.entries[entry].alive {
            return;
        }
        let until = self.entries[entry]
            .paused_until
            .max(self.queue.now() + time);
        self.entries[entry].paused_until = until;
        self.record_life(entry, Life::Paused);
        let resumed = Event::Fault(Injection::ResumeEntry(entry));
        self.queue.schedule_at(until, resumed);
    }

    fn partition_rack(&mut self, worker: usize, time: Us) {
        let until = self.queue.now() + time;
        let rack = &self.scenario.vms[worker].group;
        for (vm, worker) in self.scenario.vms.iter().zip(&mut self.fleet.workers) {
            if vm.group == *rack {
                worker.partitioned_until = until;
            }
        }
    }

    fn silence_some_workers(&mut self) {
        let vms = self.scenario.vms.len();
        let some = distinct_indices(&mut self.random, vms / SILENT_FRACTION, vms);
        self.fleet.silence_connections(&some);
        self.commands_reliable = false;
    }

    /// Returns the additional delay of a command, or `None` if the command is lost. While
    /// connections go silent, some commands are lost and some arrive after the sender's timeout.
    pub(crate) fn command_delay(&mut self) -> Option<Us> {
        if self.commands_reliable {
            return Some(0);
        }
        match self.random.random_range(0..12) {
            0 => None,
            1 => Some(3 * SECOND),
            _ => Some(0),
        }
    }
}
