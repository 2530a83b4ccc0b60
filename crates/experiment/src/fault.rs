//! When faults begin and end, and what they do.

use history::Life;
use rand::RngExt;
use rand::rngs::StdRng;

use crate::agenda::SECOND;
use crate::agenda::Us;
use crate::case::Fault;
use crate::platform::LONG;
use crate::scene::WARM_UP;
use crate::scene::distinct;
use crate::scene::stream;
use crate::world::Happening;
use crate::world::World;

/// The share of workers whose connections go silent, as one in so many.
const SILENT: usize = 3;

/// Something begins or ends to fail.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Trouble {
    Store { outage: bool, slow: bool },
    Lossy(bool),
    Crash(usize),
    Pause(usize, Us),
    Resumed(usize),
    Cut(usize, Us),
    Kill(usize),
    Silence,
    Sound,
    Conflict,
}

impl World<'_> {
    pub(crate) fn plan_troubles(&mut self) {
        for fault in self.setup.faults.clone() {
            let seed = self.scene.shape.seed;
            let mut random = stream(seed, fault.name());
            for (at, trouble) in self.troubles(fault, &mut random) {
                let at = WARM_UP + at;
                self.agenda.put(at, Happening::Trouble(trouble));
            }
        }
    }

    /// Most faults happen twice in a run, at points that the seed moves.
    fn troubles(&self, fault: Fault, random: &mut StdRng) -> Vec<(Us, Trouble)> {
        let window = self.scene.shape.window;
        let mut early = || random.random_range(window / 10..window / 3);
        let (first, second) = (early(), early() + window / 2);
        let store = |outage, slow| Trouble::Store { outage, slow };
        let entries = self.scene.shape.entries;
        let vms = self.scene.vms.len();
        let pair = distinct(random, 2, entries);
        match fault {
            Fault::StoreOutage => {
                vec![
                    (first, store(true, false)),
                    (first + LONG, store(false, false)),
                ]
            }
            Fault::StoreSlow => {
                vec![
                    (first, store(false, true)),
                    (first + LONG, store(false, false)),
                ]
            }
            Fault::LostWriteAnswer => {
                vec![(0, Trouble::Lossy(true)), (window, Trouble::Lossy(false))]
            }
            Fault::LeaseLapse => {
                let rack = random.random_range(0..vms);
                let long = 26 * SECOND;
                vec![
                    (first, Trouble::Pause(pair[0], long)),
                    (first + 3 * SECOND, Trouble::Cut(rack, long)),
                ]
            }
            Fault::EntryCrash => {
                vec![
                    (first, Trouble::Crash(pair[0])),
                    (second, Trouble::Crash(pair[1])),
                ]
            }
            Fault::EntryPause => vec![
                (first, Trouble::Pause(pair[0], 12 * SECOND)),
                (second, Trouble::Pause(pair[1], 4 * SECOND)),
            ],
            Fault::VmCrash => {
                let count = (vms / 16).max(1);
                let dead = distinct(random, count, vms).into_iter();
                dead.map(|vm| (random.random_range(0..window * 3 / 4), Trouble::Kill(vm)))
                    .collect()
            }
            Fault::SilentConnections => vec![
                (first, Trouble::Silence),
                (first + 4 * SECOND, Trouble::Sound),
                (second, Trouble::Silence),
                (second + 4 * SECOND, Trouble::Sound),
            ],
            Fault::OperatorRace => {
                let times = (0..10).map(|step| step * window / 10);
                times.map(|at| (at, Trouble::Conflict)).collect()
            }
        }
    }

    pub(crate) fn trouble(&mut self, trouble: Trouble) {
        match trouble {
            Trouble::Store { outage, slow } => self.set_store(outage, slow),
            Trouble::Lossy(lossy) => {
                let (outage, slow) = (self.platform.outage, self.platform.slow);
                self.platform.lossy = lossy;
                let healthy = !lossy && !outage && !slow;
                self.see(history::Fact::Store { healthy });
            }
            Trouble::Crash(entry) => self.crash(entry),
            Trouble::Pause(entry, time) => self.pause(entry, time),
            Trouble::Resumed(entry) => {
                let still = self.entries[entry].paused > self.agenda.now();
                if self.entries[entry].alive && !still {
                    self.see_life(entry, Life::Resumed);
                }
            }
            Trouble::Cut(rack_of, time) => self.cut_rack(rack_of, time),
            Trouble::Kill(vm) => {
                if self.fleet.workers[vm].died.is_none() {
                    self.kill_worker(vm);
                }
            }
            Trouble::Silence => self.silence(),
            Trouble::Sound => self.loud = true,
            Trouble::Conflict => self.conflict(),
        }
    }

    fn crash(&mut self, entry: usize) {
        if !self.entries[entry].alive {
            return;
        }
        self.entries[entry].alive = false;
        self.see_life(entry, Life::Crashed);
        self.cut_callers(entry);
        self.agenda.after(6 * SECOND, Happening::Start(entry));
    }

    fn pause(&mut self, entry: usize, time: Us) {
        if !self.entries[entry].alive {
            return;
        }
        let until = self.entries[entry].paused.max(self.agenda.now() + time);
        self.entries[entry].paused = until;
        self.see_life(entry, Life::Paused);
        let resumed = Happening::Trouble(Trouble::Resumed(entry));
        self.agenda.put(until, resumed);
    }

    fn cut_rack(&mut self, worker: usize, time: Us) {
        let until = self.agenda.now() + time;
        let rack = &self.scene.vms[worker].group;
        for (vm, worker) in self.scene.vms.iter().zip(&mut self.fleet.workers) {
            if vm.group == *rack {
                worker.cut = until;
            }
        }
    }

    fn silence(&mut self) {
        let vms = self.scene.vms.len();
        let some = distinct(&mut self.random, vms / SILENT, vms);
        self.fleet.silence(&some);
        self.loud = false;
    }

    /// While connections go silent, some commands get lost, and some arrive after the sender gave
    /// up on them; `None` is a lost one.
    pub(crate) fn command_trouble(&mut self) -> Option<Us> {
        if self.loud {
            return Some(0);
        }
        match self.random.random_range(0..12) {
            0 => None,
            1 => Some(3 * SECOND),
            _ => Some(0),
        }
    }
}
