//! The command line of the experiment tool.

use std::ffi::OsString;
use std::path::PathBuf;
use std::process::ExitCode;

use experiment::case;
use experiment::case::Case;
use experiment::case::Fault;
use experiment::case::Policy;
use experiment::plot;
use experiment::report;
use experiment::report::Line;
use experiment::sample::Samples;
use experiment::scenario::Parameters;
use experiment::scenario::Scenario;
use experiment::scenario::seeded_rng;
use experiment::simulation::Setup;
use quick_error::quick_error;
use rand::RngExt;

const USAGE: &str = "\
experiment CASE [--seed S] [--fault A,B] [--policy naive|current|both] [--json] [--compare]
           [--entries N] [--small] [--plot FILE] [--trace]
experiment --sweep N [--seed S] [--policy naive|current|both]

Runs a case in virtual time and prints one JSON line per policy. --compare prints a table instead,
or as well with --json. --plot draws the runs into an SVG file. --trace prints all events to
standard error. --small runs a third of the fleet for 30 s, as the tests do. --sweep runs N random
combinations of a case and two faults and prints those with violations.
Exits with 1 when an invariant was violated under the current policy.
";

quick_error! {
    /// The command line is not valid, so nothing was run.
    #[derive(Debug)]
    enum Error {
        /// The arguments cannot be parsed.
        Arguments(error: lexopt::Error) {
            from()
            display("{}", error)
        }
        /// The name of a case, fault or policy is not known.
        Name(error: case::Error) {
            from()
            display("{}", error)
        }
        /// Neither a case nor a sweep was given.
        Missing {
            display("a case or --sweep is needed")
        }
        /// The value of an option is outside its range.
        Range(option: &'static str) {
            display("{} must be from 3 to 9", option)
        }
    }
}

/// The options of the command line, with their defaults where none were given.
#[derive(Debug)]
struct Options {
    case: Option<Case>,
    seed: u64,
    faults: Vec<Fault>,
    policies: Vec<Policy>,
    json: bool,
    compare: bool,
    entries: usize,
    plot: Option<PathBuf>,
    trace: bool,
    small: bool,
    sweep: Option<u32>,
    help: bool,
}

fn main() -> ExitCode {
    let options = match Options::try_from(std::env::args_os().skip(1).collect::<Vec<_>>()) {
        Ok(options) => options,
        Err(error) => {
            eprintln!("{error}\n\n{USAGE}");
            return ExitCode::from(2);
        }
    };
    if options.help {
        print!("{USAGE}");
        return ExitCode::SUCCESS;
    }
    let succeeded = match (options.sweep, options.case) {
        (Some(count), _) => sweep(&options, count),
        (None, Some(case)) => run_case(&options, case),
        (None, None) => false,
    };
    if succeeded {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

impl TryFrom<Vec<OsString>> for Options {
    type Error = Error;

    fn try_from(raw: Vec<OsString>) -> Result<Self, Error> {
        let mut options = Self {
            case: None,
            seed: 1,
            faults: Vec::new(),
            policies: vec![Policy::Current],
            json: false,
            compare: false,
            entries: 6,
            plot: None,
            trace: false,
            small: false,
            sweep: None,
            help: false,
        };
        let mut policy_given = false;
        let mut parser = lexopt::Parser::from_args(raw);
        while let Some(argument) = parser.next()? {
            policy_given |= argument == lexopt::Arg::Long("policy");
            options.apply(argument.into(), &mut parser)?;
        }
        if !policy_given && (options.compare || options.plot.is_some()) {
            options.policies = vec![Policy::Naive, Policy::Current];
        }
        options.validate()
    }
}

/// An owned argument, so that the parser can be used for its value.
enum Argument {
    Value(OsString),
    Option(String),
}

impl From<lexopt::Arg<'_>> for Argument {
    fn from(argument: lexopt::Arg<'_>) -> Self {
        match argument {
            lexopt::Arg::Value(value) => Self::Value(value),
            lexopt::Arg::Long(name) => Self::Option(name.into()),
            lexopt::Arg::Short(name) => Self::Option(name.into()),
        }
    }
}

impl Options {
    fn apply(&mut self, argument: Argument, parser: &mut lexopt::Parser) -> Result<(), Error> {
        use lexopt::ValueExt;

        let name = match argument {
            Argument::Value(value) => {
                self.case = Some(Case::try_from(value.string()?.as_str())?);
                return Ok(());
            }
            Argument::Option(name) => name,
        };
        match name.as_str() {
            "seed" => self.seed = parser.value()?.parse()?,
            "fault" => self.faults = faults(&parser.value()?.string()?)?,
            "policy" => self.policies = policies(&parser.value()?.string()?)?,
            "json" => self.json = true,
            "compare" => self.compare = true,
            "entries" => self.entries = parser.value()?.parse()?,
            "plot" => self.plot = Some(parser.value()?.into()),
            "trace" => self.trace = true,
            "small" => self.small = true,
            "sweep" => self.sweep = Some(parser.value()?.parse()?),
            "help" | "h" => self.help = true,
            _ => return Err(lexopt::Arg::Long(&name).unexpected().into()),
        }
        Ok(())
    }

    fn validate(self) -> Result<Self, Error> {
        if !(3..=9).contains(&self.entries) {
            return Err(Error::Range("--entries"));
        }
        if self.case.is_none() && self.sweep.is_none() && !self.help {
            return Err(Error::Missing);
        }
        Ok(self)
    }
}

fn faults(raw: &str) -> Result<Vec<Fault>, Error> {
    let names = raw.split(',').filter(|name| !name.is_empty());
    Ok(names.map(Fault::try_from).collect::<Result<_, _>>()?)
}

fn policies(raw: &str) -> Result<Vec<Policy>, Error> {
    match raw {
        "both" => Ok(vec![Policy::Naive, Policy::Current]),
        name => Ok(vec![Policy::try_from(name)?]),
    }
}

fn run_case(options: &Options, case: Case) -> bool {
    let new_parameters = if options.small {
        Parameters::small
    } else {
        Parameters::new
    };
    let parameters = Parameters {
        entries: options.entries,
        ..new_parameters(case, options.seed)
    };
    let scenario = Scenario::new(parameters);
    let runs: Vec<(Line, Samples)> = options
        .policies
        .iter()
        .map(|policy| {
            let setup = Setup {
                policy: *policy,
                faults: options.faults.clone(),
                mistake: None,
                trace: options.trace,
            };
            let (line, record) = report::measure(&scenario, &setup);
            (line, record.samples)
        })
        .collect();
    let lines: Vec<Line> = runs.iter().map(|(line, _)| line.clone()).collect();
    if options.compare {
        print!("{}", report::table(&lines));
    }
    if options.json || !options.compare {
        lines.iter().for_each(print_line);
    }
    if let Some(path) = &options.plot
        && let Err(error) = plot::draw(path, &runs)
    {
        eprintln!("{}: {error}", path.display());
        return false;
    }
    lines.iter().all(keeps_invariants)
}

fn print_line(line: &Line) {
    let json = serde_json::to_string(line).expect("a line serialises to memory");
    println!("{json}");
}

fn keeps_invariants(line: &Line) -> bool {
    line.policy == Policy::Naive.name() || line.violations.is_empty()
}

fn sweep(options: &Options, count: u32) -> bool {
    let mut random = seeded_rng(options.seed, "sweep");
    let mut broken = 0;
    for _ in 0..count {
        let case = Case::ALL[random.random_range(0..Case::ALL.len())];
        let mut random_fault = || Fault::ALL[random.random_range(0..Fault::ALL.len())];
        let mut faults = vec![random_fault(), random_fault()];
        faults.dedup();
        let seed = random.random_range(0..1_000_000);
        let parameters = Parameters {
            entries: random.random_range(3..=9),
            ..Parameters::new(case, seed)
        };
        let scenario = Scenario::new(parameters);
        for policy in &options.policies {
            let setup = Setup {
                policy: *policy,
                faults: faults.clone(),
                mistake: None,
                trace: false,
            };
            let (line, _) = report::measure(&scenario, &setup);
            if !line.violations.is_empty() {
                println!("--entries {}", parameters.entries);
                print_line(&line);
            }
            broken += u32::from(!keeps_invariants(&line));
        }
    }
    println!("{broken} of {count} runs broke a promise");
    broken == 0
}
