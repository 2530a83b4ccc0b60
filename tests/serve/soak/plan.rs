//! The faults of one play, drawn from a seed or read from a file.

use std::fmt;
use std::ops::Range;
use std::str::FromStr;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::proxy::Mode;

/// The mean pause between two faults, in ms.
const MEAN_PAUSE_MS: f64 = 700.0;
/// The time without faults at the start of a play but for one relist, in ms.
const FIRST_FAULT_MS: u64 = 10_500;
/// The time within which all faults are over after the last one may have begun, in ms.
const LAST_FAULT_MS: u64 = 4_000;
/// Of this many faults of an entry, one is aimed at the leader whoever it is.
const LEADER_SHARE: u32 = 3;

/// The connections that a fault of the network affects.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Path {
    /// From an entry to the store.
    Store,
    /// From an entry to some workers.
    Workers,
    /// From all entries to some workers.
    AllToWorkers,
    /// From an entry to all others.
    Peers,
    /// From all others to an entry.
    ToPeer,
    /// From an entry to some others.
    Pairs,
    /// From clients to an entry.
    Clients,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// The connections of a path are disturbed.
    Link(Path, Mode),
    /// The store refuses the calls of an entry.
    StoreRefuses,
    /// The process of an entry is stopped.
    Pause,
    /// The process of an entry runs for a part of each period, both in ms.
    Slow { runs: u64, period: u64 },
    /// An entry is killed, and starts again when the fault is over.
    Kill,
    /// An entry is asked to end, and starts again when the fault is over.
    Terminate,
    /// A worker crashes, and starts again under another id when the fault is over.
    Crash,
    /// A worker crashes, and starts again under its id and address when the fault is over.
    Rebirth,
    /// Some workers have no registration while their connections are disturbed. When the fault is
    /// over, they are listed again; one that moves has restarted under its id at another address.
    Relist { mode: Mode, moves: bool },
    /// A worker drains until the fault is over and leaves, which ends what it runs.
    Drain,
    /// A worker drains, and then has no registration and refuses connections, while what it runs
    /// goes on under its lease until the fault is over.
    Leave,
}

/// The names of the paths in a plan, before those of the modes.
const PATHS: &[(&str, Path)] = &[
    ("store", Path::Store),
    ("worker", Path::Workers),
    ("all", Path::AllToWorkers),
    ("peer", Path::Peers),
    ("topeer", Path::ToPeer),
    ("pair", Path::Pairs),
    ("client", Path::Clients),
];

const MODES: &[(&str, Mode)] = &[
    ("refused", Mode::Refuse),
    ("reset", Mode::Reset),
    ("silent", Mode::Stall),
    ("dropped", Mode::Drop),
    ("oneway", Mode::OneWay),
    ("lost", Mode::LoseAnswers),
    ("late", LATE),
    ("slow", Mode::Slow(Duration::from_millis(12_000))),
];

/// The names of the other kinds in a plan.
const KINDS: &[(&str, Kind)] = &[
    ("store:503", Kind::StoreRefuses),
    ("pause", Kind::Pause),
    (
        "duty20",
        Kind::Slow {
            runs: 20,
            period: 100,
        },
    ),
    (
        "duty9",
        Kind::Slow {
            runs: 15,
            period: 165,
        },
    ),
    (
        "duty4",
        Kind::Slow {
            runs: 10,
            period: 250,
        },
    ),
    (
        "duty12",
        Kind::Slow {
            runs: 150,
            period: 1_300,
        },
    ),
    ("kill", Kind::Kill),
    ("terminate", Kind::Terminate),
    ("crash", Kind::Crash),
    ("rebirth", Kind::Rebirth),
    ("drain", Kind::Drain),
    ("leave", Kind::Leave),
];

/// The names of the faults in which workers are listed again, before those of the modes, and whether
/// the workers move.
const RELISTS: &[(&str, bool)] = &[("relist", false), ("move", true)];

/// Returns the names of all kinds.
fn names() -> Vec<String> {
    let paths = PATHS.iter().map(|(path, _)| path);
    let relists = RELISTS.iter().map(|(relist, _)| relist);
    let links = paths.chain(relists).flat_map(|path| {
        let modes = MODES.iter();
        modes.map(move |(mode, _)| format!("{path}:{mode}"))
    });
    let others = KINDS.iter().map(|(name, _)| (*name).to_owned());
    links.chain(others).collect()
}

fn parse_kind(name: &str) -> Option<Kind> {
    let other = KINDS.iter().find(|(other, _)| *other == name);
    other.map(|(_, kind)| *kind).or_else(|| {
        let (path, mode) = name.split_once(':')?;
        let (_, mode) = MODES.iter().find(|(other, _)| *other == mode)?;
        let relist = RELISTS.iter().find(|(other, _)| *other == path);
        let relist = relist.map(|(_, moves)| Kind::Relist {
            mode: *mode,
            moves: *moves,
        });
        let link = PATHS.iter().find(|(other, _)| *other == path);
        relist.or_else(|| link.map(|(_, path)| Kind::Link(*path, *mode)))
    })
}

/// A delay that exceeds the time limits of callers.
const LATE: Mode = Mode::Late(Duration::from_millis(2_600));

/// How long workers are cut off without a registration, in ms: less than a lease to more than one.
const RELIST_MS: Range<u64> = 5_700..8_000;
/// Two relists of half of the fleet, which then has runs, are in each play, before most other faults and while the last
/// ones end: where the leader changes meanwhile, they test less. Their ends, in ms after the first
/// fault and after the last one.
const FIRST_RELIST_END_MS: u64 = 1_000;
const LAST_RELIST_END_MS: u64 = 4_000;
/// How long these relists last, in ms: about the time after which the leader removes a worker that has
/// no registration.
const FLEET_RELIST_MS: Range<u64> = 6_500..7_300;
/// Of how many workers one is listed again at a time.
const RELIST_SHARES: [usize; 3] = [1, 2, 6];
/// Of this many faults that relist workers, one is followed by cuts of the same workers, as each cut
/// of workers is.
const CUT_AGAIN_SHARE: u32 = 3;
/// The most time between the end of a cut and the begin of another one of the same worker, in ms.
const CUT_AGAIN_MS: u64 = 1_500;

/// The planned stops in each play beside those that are drawn as other faults are.
const STOP_COUNT: usize = 3;

/// The name of the fault that delays what the leader and the agents send each other.
const SLOW_LEADER: &str = "topeer:slow";

/// How often each group of kinds is drawn, by the start of their names.
const WEIGHTS: &[(&str, u32)] = &[
    ("store:", 4),
    ("worker:", 4),
    ("all:", 4),
    ("peer:", 2),
    ("topeer:", 1),
    (SLOW_LEADER, 4),
    ("pair:", 2),
    ("client:", 1),
    ("relist:", 2),
    ("relist:dropped", 5),
    ("move:", 2),
    ("move:dropped", 5),
    ("pause", 3),
    ("duty", 5),
    ("kill", 2),
    ("terminate", 1),
    ("crash", 1),
    ("rebirth", 1),
    ("drain", 1),
    ("leave", 4),
];

/// One fault, which affects one entry or some workers or both.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    /// When it begins after the start of the play, in ms.
    pub at: u64,
    /// How long it lasts, in ms.
    pub lasts: u64,
    pub name: String,
    pub kind: Kind,
    /// The number of the entry; `None` for the one that leads when the fault begins.
    pub entry: Option<usize>,
    /// The numbers of the workers, or of the other entries.
    pub workers: Vec<usize>,
}

impl Fault {
    /// Returns when the fault is over, in ms after the start of the play.
    pub const fn end(&self) -> u64 {
        self.at + self.lasts
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {} {} ", self.at, self.lasts, self.name)?;
        match self.entry {
            Some(entry) => write!(f, "{entry}")?,
            None => f.write_str("leader")?,
        }
        self.workers
            .iter()
            .try_for_each(|worker| write!(f, " {worker}"))
    }
}

impl FromStr for Fault {
    type Err = String;

    /// Parses `AT LASTS KIND ENTRY [WORKER...]`, where the entry may be `leader`.
    fn from_str(line: &str) -> Result<Self, String> {
        let mut words = line.split_whitespace();
        let mut word = |what: &str| words.next().ok_or_else(|| format!("{what} is missing"));
        let number = |raw: &str| raw.parse().map_err(|error| format!("{raw}: {error}"));
        let at = number(word("the time")?)?;
        let lasts = number(word("the duration")?)?;
        let name = word("the kind")?.to_owned();
        let kind = parse_kind(&name).ok_or_else(|| format!("{name} is no kind of fault"))?;
        let entry = word("the entry")?;
        let index = |raw: &str| raw.parse().map_err(|error| format!("{raw}: {error}"));
        let entry = match entry {
            "leader" => None,
            raw => Some(index(raw)?),
        };
        let workers = words.map(index).collect::<Result<_, String>>()?;
        Ok(Self {
            at,
            lasts,
            name,
            kind,
            entry,
            workers,
        })
    }
}

/// Reads a plan of one fault a line.
pub fn parse(file: &str, text: &str) -> Result<Vec<Fault>, String> {
    let lines = text.lines().enumerate();
    let faults = lines.filter(|(_, line)| !line.trim().is_empty());
    faults
        .map(|(index, line)| {
            line.parse()
                .map_err(|error| format!("{file}:{}: {error}", index + 1))
        })
        .collect()
}

fn draw_name(random: &mut StdRng) -> String {
    let total: u32 = WEIGHTS.iter().map(|(_, weight)| weight).sum();
    let mut rest = random.random_range(0..total);
    let group = WEIGHTS.iter().find(|(_, weight)| {
        let is_drawn = rest < *weight;
        rest = rest.saturating_sub(*weight);
        is_drawn
    });
    let start = group.expect("the weights add up to the total").0;
    let mut names = names();
    names.retain(|name| name.starts_with(start));
    names.swap_remove(random.random_range(0..names.len()))
}

/// Returns how long a fault of this kind lasts, in ms.
fn draw_duration(random: &mut StdRng, kind: Kind) -> u64 {
    let choices: &[u64] = match kind {
        Kind::Link(_, Mode::Slow(_)) => &[6_000, 10_000, 14_000],
        Kind::Link(..) | Kind::StoreRefuses => {
            &[1_000, 1_500, 2_500, 4_000, 5_500, 5_800, 8_000, 12_000]
        }
        Kind::Relist { .. } => return random.random_range(RELIST_MS),
        Kind::Pause => &[600, 1_500, 2_500, 4_000, 6_000, 9_000, 15_000],
        Kind::Slow { .. } => &[3_000, 6_000, 10_000, 15_000],
        Kind::Kill | Kind::Terminate => &[0, 300, 2_500],
        Kind::Crash | Kind::Rebirth => &[500, 1_000, 3_000],
        Kind::Drain | Kind::Leave => &[4_000, 6_000, 8_000, 11_000],
    };
    choices[random.random_range(0..choices.len())]
}

/// Returns a silence of some workers shortly after `at`, which ends before their leases do. If what
/// agents report is later and later meanwhile, the leader learns of it after the time at which the
/// leases would have expired.
fn draw_silence(random: &mut StdRng, at: u64, workers: usize) -> Fault {
    let first = random.random_range(0..workers);
    Fault {
        at: at + random.random_range(100..1_000),
        lasts: [4_000, 4_500, 5_000, 5_500][random.random_range(0..4)],
        name: "all:silent".into(),
        kind: Kind::Link(Path::AllToWorkers, Mode::Stall),
        entry: Some(0),
        workers: (0..workers.div_ceil(2))
            .map(|index| (first + index) % workers)
            .collect(),
    }
}

/// Returns a relist of half of the fleet that ends at this time, or nearly so.
fn draw_fleet_relist(random: &mut StdRng, end: u64, workers: usize) -> Fault {
    let name = ["relist:dropped", "move:dropped"][random.random_range(0..2)];
    let lasts = random.random_range(FLEET_RELIST_MS);
    let first = random.random_range(0..workers);
    Fault {
        at: end.saturating_sub(lasts),
        lasts,
        name: name.into(),
        kind: parse_kind(name).expect("the name is one of a kind"),
        entry: Some(0),
        workers: (0..workers.div_ceil(2))
            .map(|index| (first + index) % workers)
            .collect(),
    }
}

/// Returns planned stops of single entries after the first relist, which each play has.
fn draw_stops(seed: u64, entries: usize, length: u64) -> Vec<Fault> {
    let mut random = StdRng::seed_from_u64(!seed);
    let first = (FIRST_FAULT_MS + FIRST_RELIST_END_MS).min(length);
    let stops = (0..STOP_COUNT).map(|_| Fault {
        at: random.random_range(first..=length),
        lasts: 300,
        name: "terminate".into(),
        kind: Kind::Terminate,
        entry: Some(random.random_range(0..entries)),
        workers: Vec::new(),
    });
    stops.collect()
}

/// Returns one or two cuts of the workers of a fault, which overlap it or follow it, on any path.
fn draw_more_cuts(random: &mut StdRng, fault: &Fault, entries: usize) -> Vec<Fault> {
    let count = random.random_range(1..3);
    let cuts = (0..count).map(|_| {
        let path = ["worker", "all"][random.random_range(0..2)];
        let (mode, _) = MODES[random.random_range(0..MODES.len())];
        let name = format!("{path}:{mode}");
        let kind = parse_kind(&name).expect("the name is one of a kind");
        let is_leader = random.random_range(0..LEADER_SHARE) == 0;
        let entry = random.random_range(0..entries);
        Fault {
            at: fault.at + random.random_range(0..fault.lasts + CUT_AGAIN_MS),
            lasts: draw_duration(random, kind),
            name,
            kind,
            entry: (!is_leader).then_some(entry),
            workers: fault.workers.clone(),
        }
    });
    cuts.collect()
}

/// Draws the faults of a play, in the order in which they begin.
pub fn draw(seed: u64, entries: usize, workers: usize, length: u64) -> Vec<Fault> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut at = FIRST_FAULT_MS;
    let ends = [
        FIRST_FAULT_MS + FIRST_RELIST_END_MS,
        length + LAST_RELIST_END_MS,
    ];
    let mut faults: Vec<Fault> = ends
        .iter()
        .map(|end| draw_fleet_relist(&mut random, *end, workers))
        .collect();
    while at < length {
        let name = draw_name(&mut random);
        let kind = parse_kind(&name).expect("the name is one of a kind");
        // Only the leader has connections from other entries.
        let is_leader = matches!(kind, Kind::Link(Path::ToPeer, _))
            || random.random_range(0..LEADER_SHARE) == 0;
        let entry = random.random_range(0..entries);
        let some = [1, 1, 3, 8][random.random_range(0..4)].min(workers);
        let first = random.random_range(0..workers);
        let affects_worker = !matches!(
            kind,
            Kind::Link(Path::Store | Path::Peers | Path::ToPeer | Path::Clients, _)
                | Kind::StoreRefuses
                | Kind::Pause
                | Kind::Slow { .. }
                | Kind::Kill
                | Kind::Terminate
        );
        let some = match kind {
            Kind::Link(Path::Pairs, _) => 1,
            Kind::Link(..) => some,
            Kind::Relist { .. } => {
                let share = RELIST_SHARES[random.random_range(0..RELIST_SHARES.len())];
                workers.div_ceil(share)
            }
            _ => 1,
        };
        let numbers = if matches!(kind, Kind::Link(Path::Pairs, _)) {
            entries
        } else {
            workers
        };
        let lasts = draw_duration(&mut random, kind);
        let fault = Fault {
            at,
            lasts: lasts.min(length + LAST_FAULT_MS - at),
            name: name.clone(),
            kind,
            entry: (!is_leader).then_some(entry),
            workers: (0..if affects_worker { some } else { 0 })
                .map(|index| (first + index * 7) % numbers)
                .collect(),
        };
        let is_cut = matches!(kind, Kind::Link(Path::Workers | Path::AllToWorkers, _));
        let is_relist = matches!(kind, Kind::Relist { .. });
        if is_cut || is_relist && random.random_range(0..CUT_AGAIN_SHARE) == 0 {
            let mut cuts = draw_more_cuts(&mut random, &fault, entries);
            cuts.retain(|cut| cut.at < length);
            faults.extend(cuts);
        }
        faults.push(fault);
        if name == SLOW_LEADER {
            faults.push(draw_silence(&mut random, at, workers));
        }
        let fraction: f64 = random.random_range(0.05..1.0);
        at += (-fraction.ln() * MEAN_PAUSE_MS) as u64;
    }
    faults.extend(draw_stops(seed, entries, length));
    faults.sort_by_key(|fault| fault.at);
    faults
}

/// Writes a plan in the form in which it can be read again.
pub fn to_text(faults: &[Fault]) -> String {
    faults.iter().map(|fault| format!("{fault}\n")).collect()
}

#[test]
fn a_plan_that_was_written_is_read_as_it_was() {
    let faults = draw(7, 9, 24, 60_000);
    assert!(faults.len() > 40);
    assert_eq!(parse("plan", &to_text(&faults)), Ok(faults));
}

/// The plans that were drawn before issue 42 cut no worker off that was listed anew meanwhile.
#[test]
fn drawn_plans_relist_workers_and_cut_some_of_them_more_than_once() {
    for seed in 1..=10 {
        let faults = draw(seed, 9, 24, super::DEFAULT_SECONDS * 1_000);
        let relists = |fault: &&Fault| matches!(fault.kind, Kind::Relist { .. });
        assert!(faults.iter().any(|fault| relists(&fault)), "seed {seed}");
        let cuts: Vec<&Fault> = faults
            .iter()
            .filter(|fault| {
                let is_link = matches!(
                    fault.kind,
                    Kind::Link(Path::Workers | Path::AllToWorkers, _)
                );
                is_link || relists(fault)
            })
            .collect();
        let is_cut_again = cuts.iter().any(|one| {
            let mut later = cuts.iter().filter(|cut| cut.at > one.at);
            later.any(|cut| cut.at < one.end() && cut.workers == one.workers)
        });
        assert!(is_cut_again, "seed {seed}");
    }
}

#[test]
fn a_bad_line_of_a_plan_is_named() {
    let cases = [
        ("x", "plan:1: x: invalid digit found in string"),
        ("\n5 6", "plan:2: the kind is missing"),
        ("5 6 none 1", "plan:1: none is no kind of fault"),
        ("5 6 move:none 1", "plan:1: move:none is no kind of fault"),
        ("5 6 kill\n", "plan:1: the entry is missing"),
    ];
    for (text, error) in cases {
        assert_eq!(parse("plan", text), Err(error.to_owned()));
    }
}
