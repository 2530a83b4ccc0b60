//! The cases, faults and policies that the command line accepts, and deliberate mistakes for tests.

use quick_error::quick_error;

quick_error! {
    /// A name on the command line is not known.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum Error {
        /// The kind of name that was expected, and the name that was given.
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
            /// All values in the order of their declaration.
            pub const ALL: &'static [Self] = &[$(Self::$item,)*];

            /// The name on the command line and in results.
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
    /// A kind of load with the fleet that serves it.
    Case, "case",
    /// Demand for orders jumps to more than the targets can serve.
    OrderRush = "order-rush",
    /// Reports of all plants arrive while the monthly batch runs.
    ShiftClose = "shift-close",
    /// Batch tasks that slow the service arrive in waves.
    NoisyWave = "noisy-wave",
    /// A few requests and tasks run many times longer than the rest.
    Stragglers = "stragglers",
    /// Some workers fail everything as soon as they start it.
    BlackHole = "black-hole",
    /// Most jobs are cancelled in waves.
    CancelWave = "cancel-wave",
    /// Some jobs fit on no worker.
    ImpossibleJobs = "impossible-jobs",
    /// Every entry is stopped and started again, and workers are drained.
    RollingRestart = "rolling-restart",
}

impl Case {
    /// Whether the case uses the fleet of the plants' logs instead of the fleet of the orders.
    #[must_use]
    pub const fn plant(self) -> bool {
        matches!(
            self,
            Self::ShiftClose | Self::Stragglers | Self::CancelWave | Self::ImpossibleJobs
        )
    }
}

names! {
    /// A kind of fault that is injected into a run.
    Fault, "fault",
    /// The table and the object store refuse or drop all operations for 25 s.
    StoreOutage = "store-outage",
    /// The table answers slowly for 25 s.
    StoreSlow = "store-slow",
    /// Some commits take effect, a few of them late, but their answers are lost.
    LostWriteAnswer = "lost-write-answer",
    /// An entry is paused and a rack is cut off from the network for longer than any lease.
    LeaseLapse = "lease-lapse",
    /// Two entries crash and are started again.
    EntryCrash = "entry-crash",
    /// Two entries are paused and resumed.
    EntryPause = "entry-pause",
    /// The VMs of some workers crash.
    VmCrash = "vm-crash",
    /// Established connections to some workers go silent until they are checked.
    SilentConnections = "silent-connections",
    /// Operators make conflicting changes at the same time.
    OperatorRace = "operator-race",
}

names! {
    /// The decision logic that is measured.
    Policy, "policy",
    /// The baseline, which serves as a comparison.
    Naive = "naive",
    /// The scheduler's own decision logic.
    Current = "current",
}

names! {
    /// A deliberate mistake that the harness makes in place of the decision logic. The checks of
    /// the history have to report it.
    Mistake, "mistake",
    /// Workers execute commands and requests of former owners.
    NoFence = "no-fence",
    /// An attempt that may have run is treated as not run.
    Repeat = "repeat",
    /// A stop command without an answer is treated as done.
    FreeAmbiguous = "free-ambiguous",
    /// An entry reverts to an older configuration.
    OldConfig = "old-config",
    /// Requests arrive at entries without their deadline.
    NoDeadline = "no-deadline",
}
