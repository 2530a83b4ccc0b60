//! The faults of one play, drawn from a seed or read from a file.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::proxy::Mode;

/// The mean pause between two faults, in ms.
const MEAN_PAUSE_MS: f64 = 700.0;
/// The time without faults at the start of a play, in ms.
const FIRST_FAULT_MS: u64 = 2_000;
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
    /// The process of an entry runs for this part of each period, both in ms.
    Slow { runs: u64, period: u64 },
    /// An entry is killed, and starts again when the fault is over.
    Kill,
    /// An entry is asked to end, and starts again when the fault is over.
    Terminate,
    /// A worker crashes, and starts again under another id when the fault is over.
    Crash,
    /// A worker crashes, and starts again under its id and address when the fault is over.
    Rebirth,
    /// A worker drains until the fault is over and leaves, which ends what it runs.
    Drain,
    /// A worker drains, and then has no registration and refuses connections, while what it runs
    /// goes on under its lease until the fault is over.
    Leave,
}

/// The names of the kinds in a plan.
const KINDS: &[(&str, Kind)] = &[
    ("store-refused", Kind::Link(Path::Store, Mode::Refuse)),
    ("store-reset", Kind::Link(Path::Store, Mode::Reset)),
    ("store-silent", Kind::Link(Path::Store, Mode::Stall)),
    ("store-one-way", Kind::Link(Path::Store, Mode::OneWay)),
    ("store-lost", Kind::Link(Path::Store, Mode::LoseAnswers)),
    ("store-late", Kind::Link(Path::Store, LATE)),
    ("store-503", Kind::StoreRefuses),
    ("worker-refused", Kind::Link(Path::Workers, Mode::Refuse)),
    ("worker-reset", Kind::Link(Path::Workers, Mode::Reset)),
    ("worker-silent", Kind::Link(Path::Workers, Mode::Stall)),
    ("worker-one-way", Kind::Link(Path::Workers, Mode::OneWay)),
    ("worker-lost", Kind::Link(Path::Workers, Mode::LoseAnswers)),
    ("worker-late", Kind::Link(Path::Workers, LATE)),
    ("all-refused", Kind::Link(Path::AllToWorkers, Mode::Refuse)),
    ("all-reset", Kind::Link(Path::AllToWorkers, Mode::Reset)),
    ("all-silent", Kind::Link(Path::AllToWorkers, Mode::Stall)),
    ("all-one-way", Kind::Link(Path::AllToWorkers, Mode::OneWay)),
    (
        "all-lost",
        Kind::Link(Path::AllToWorkers, Mode::LoseAnswers),
    ),
    ("all-late", Kind::Link(Path::AllToWorkers, LATE)),
    ("peer-refused", Kind::Link(Path::Peers, Mode::Refuse)),
    ("peer-silent", Kind::Link(Path::Peers, Mode::Stall)),
    ("peer-one-way", Kind::Link(Path::Peers, Mode::OneWay)),
    ("to-peer-refused", Kind::Link(Path::ToPeer, Mode::Refuse)),
    ("to-peer-silent", Kind::Link(Path::ToPeer, Mode::Stall)),
    ("to-peer-one-way", Kind::Link(Path::ToPeer, Mode::OneWay)),
    ("client-refused", Kind::Link(Path::Clients, Mode::Refuse)),
    ("client-lost", Kind::Link(Path::Clients, Mode::LoseAnswers)),
    ("client-late", Kind::Link(Path::Clients, LATE)),
    ("pause", Kind::Pause),
    (
        "slow",
        Kind::Slow {
            runs: 20,
            period: 100,
        },
    ),
    (
        "slower",
        Kind::Slow {
            runs: 15,
            period: 165,
        },
    ),
    (
        "slowest",
        Kind::Slow {
            runs: 30,
            period: 330,
        },
    ),
    ("kill", Kind::Kill),
    ("terminate", Kind::Terminate),
    ("crash", Kind::Crash),
    ("rebirth", Kind::Rebirth),
    ("drain", Kind::Drain),
    ("leave", Kind::Leave),
];

/// A delay that exceeds the time limits of callers.
const LATE: Mode = Mode::Late(Duration::from_millis(2_600));

/// How often each group of kinds is drawn, by the prefix of their names.
const WEIGHTS: &[(&str, u32)] = &[
    ("store-", 4),
    ("worker-", 4),
    ("all-", 4),
    ("peer-", 2),
    ("to-peer-", 2),
    ("client-", 1),
    ("pause", 3),
    ("slow", 5),
    ("kill", 2),
    ("terminate", 1),
    ("crash", 1),
    ("rebirth", 1),
    ("drain", 1),
    ("leave", 3),
];

/// One fault, which affects one entry or some workers or both.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    /// When it begins after the start of the play, in ms.
    pub at: u64,
    /// How long it lasts, in ms.
    pub lasts: u64,
    pub name: &'static str,
    pub kind: Kind,
    /// The number of the entry; `None` for the one that leads when the fault begins.
    pub entry: Option<usize>,
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
        let raw = word("the kind")?;
        let entry = word("the entry")?;
        let found = KINDS.iter().find(|(name, _)| *name == raw);
        let &(name, kind) = found.ok_or_else(|| format!("{raw} is no kind of fault"))?;
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

fn draw_kind(random: &mut StdRng) -> (&'static str, Kind) {
    let total: u32 = WEIGHTS.iter().map(|(_, weight)| weight).sum();
    let mut rest = random.random_range(0..total);
    let group = WEIGHTS.iter().find(|(_, weight)| {
        let is_drawn = rest < *weight;
        rest = rest.saturating_sub(*weight);
        is_drawn
    });
    let prefix = group.expect("the weights add up to the total").0;
    let kinds: Vec<_> = KINDS
        .iter()
        .filter(|(name, _)| name.starts_with(prefix))
        .collect();
    *kinds[random.random_range(0..kinds.len())]
}

/// Returns how long a fault of this kind lasts, in ms.
fn draw_duration(random: &mut StdRng, kind: Kind) -> u64 {
    let choices: &[u64] = match kind {
        Kind::Link(..) | Kind::StoreRefuses => &[1_000, 2_500, 4_000, 5_500, 8_000, 12_000],
        Kind::Pause => &[600, 1_500, 2_500, 4_000, 6_000, 9_000, 15_000],
        Kind::Slow { .. } => &[3_000, 6_000, 10_000, 15_000],
        Kind::Kill | Kind::Terminate => &[0, 300, 2_500],
        Kind::Crash | Kind::Rebirth => &[500, 1_000, 3_000],
        Kind::Drain | Kind::Leave => &[4_000, 6_000, 8_000, 11_000],
    };
    choices[random.random_range(0..choices.len())]
}

/// Draws the faults of a play, in the order in which they begin.
pub fn draw(seed: u64, entries: usize, workers: usize, length: u64) -> Vec<Fault> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut at = FIRST_FAULT_MS;
    let mut faults = Vec::new();
    while at < length {
        let (name, kind) = draw_kind(&mut random);
        let is_leader = random.random_range(0..LEADER_SHARE) == 0;
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
            Kind::Link(..) => some,
            _ => 1,
        };
        let lasts = draw_duration(&mut random, kind);
        faults.push(Fault {
            at,
            lasts: lasts.min(length + LAST_FAULT_MS - at),
            name,
            kind,
            entry: (!is_leader).then_some(entry),
            workers: (0..if affects_worker { some } else { 0 })
                .map(|index| (first + index * 5) % workers)
                .collect(),
        });
        let fraction: f64 = random.random_range(0.05..1.0);
        at += (-fraction.ln() * MEAN_PAUSE_MS) as u64;
    }
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

#[test]
fn a_bad_line_of_a_plan_is_named() {
    let cases = [
        ("x", "plan:1: x: invalid digit found in string"),
        ("\n5 6", "plan:2: the kind is missing"),
        ("5 6 none 1", "plan:1: none is no kind of fault"),
        ("5 6 kill", "plan:1: the entry is missing"),
    ];
    for (text, error) in cases {
        assert_eq!(parse("plan", text), Err(error.to_owned()));
    }
}
