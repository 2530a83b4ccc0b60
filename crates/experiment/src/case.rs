//! The names on the command line: cases, faults, policies, and deliberate mistakes for tests.

use quick_error::quick_error;

quick_error! {
    /// A name that is not known.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum Error {
        /// The name with what it should be.
        Name(what: &'static str, name: String) {
            display("{} is not a {}", name, what)
        }
    }
}

macro_rules! names {
    ($(#[$doc:meta])* $type:ident, $what:literal, $($(#[$about:meta])* $item:ident = $name:literal,)*) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
        pub enum $type {
            $($(#[$about])* $item,)*
        }

        impl $type {
            /// All of them.
            pub const ALL: &'static [Self] = &[$(Self::$item,)*];

            /// The name on the command line.
            #[must_use]
            pub const fn name(self) -> &'static str {
                match self {
                    $(Self::$item => $name,)*
                }
            }
        }

        impl TryFrom<&str> for $type {
            type Error = Error;

            fn try_from(raw: &str) -> Result<Self, Error> {
                let found = Self::ALL.iter().find(|item| item.name() == raw);
                found.copied().ok_or_else(|| Error::Name($what, raw.into()))
            }
        }
    };
}

names! {
    /// A load with its fleet.
    Case, "case",
    /// Demand rises within a second to more than the targets hold.
    OrderRush = "order-rush",
    /// Reports of all plants beside the monthly batch.
    ShiftClose = "shift-close",
    /// Waves of batch tasks that slow the service.
    NoisyWave = "noisy-wave",
    /// A few requests and tasks run many times longer than the rest.
    Stragglers = "stragglers",
    /// Some workers fail everything they start, at once.
    BlackHole = "black-hole",
    /// Most jobs are cancelled in waves.
    CancelWave = "cancel-wave",
    /// Some jobs fit on no worker.
    ImpossibleJobs = "impossible-jobs",
    /// Every entry is stopped and started again, and workers are drained.
    RollingRestart = "rolling-restart",
}

impl Case {
    /// Whether the case has the plant logs' fleet instead of the orders' one.
    #[must_use]
    pub const fn plant(self) -> bool {
        matches!(
            self,
            Self::ShiftClose | Self::Stragglers | Self::CancelWave | Self::ImpossibleJobs
        )
    }
}

names! {
    /// Something that fails.
    Fault, "fault",
    /// The table and the object store refuse everything for a long time.
    StoreOutage = "store-outage",
    /// The table answers slowly for a long time.
    StoreSlow = "store-slow",
    /// Commits take effect, some of them late, and their answers are lost.
    LostWriteAnswer = "lost-write-answer",
    /// An owner stands still and a rack is cut off for longer than any lease.
    LeaseLapse = "lease-lapse",
    /// Two entries die and are started again.
    EntryCrash = "entry-crash",
    /// Two entries stand still and go on.
    EntryPause = "entry-pause",
    /// Some workers' VMs die.
    VmCrash = "vm-crash",
    /// Established connections to workers go silent for good.
    SilentConnections = "silent-connections",
    /// Operators make conflicting changes at the same time.
    OperatorRace = "operator-race",
}

names! {
    /// The decision logic under measurement.
    Policy, "policy",
    /// The baseline.
    Naive = "naive",
    /// The real logic.
    Current = "current",
}

names! {
    /// A deliberate mistake, made by the harness in place of the decision logic, which the
    /// history checks have to find.
    Mistake, "mistake",
    /// Workers carry out commands and requests of former owners.
    NoFence = "no-fence",
    /// An attempt that may have run is taken as not run.
    Repeat = "repeat",
    /// A stop without an answer is taken as done.
    FreeAmbiguous = "free-ambiguous",
    /// An entry puts an older configuration into force again.
    OldConfig = "old-config",
    /// Requests arrive at entries without their deadline.
    NoDeadline = "no-deadline",
}
