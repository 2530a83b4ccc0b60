//! Tests of how long ended jobs are kept, on clocks that jump.

mod common;

use std::collections::BTreeMap;
use std::sync::Arc;

use common::BOUNDS;
use common::INCARNATION;
use common::accepted_job;
use common::config;
use common::name;
use common::registration;
use decision::clock::Ms;
use scheduler::id::Epoch;
use scheduler::id::Job;
use scheduler::leader::Action;
use scheduler::leader::Event;
use scheduler::leader::Leader;
use scheduler::message::End;
use scheduler::message::Observation;
use scheduler::message::Order;
use scheduler::message::Report;
use scheduler::message::Start;
use scheduler::message::Termination;
use scheduler::progress::Outcome;
use scheduler::progress::Progress;
use scheduler::progress::Stage;
use scheduler::spec;

/// The monotonic time when the first leader begins.
const BEGUN: Ms = Ms(40_000_000);
/// The true time of day then.
const UNIX: u64 = 1_700_000_000_000;
const COMPLETED: Option<Stage> = Some(Stage::Ended(Outcome::Completed));
/// The most by which the time of day jumps.
const JUMP: u64 = 5_000;
/// The time after the retention time by which rows have been removed.
const REMOVAL_TIME: Ms = Ms(62_000);

/// A leader on an entry whose time of day may be wrong, and a store that confirms its commits.
struct Fixture {
    leader: Leader,
    /// The time of day of the entry at `BEGUN`.
    unix: u64,
    is_store_away: bool,
    has_removed: bool,
    starts: Vec<Start>,
}

impl Fixture {
    /// Begins a leader this long after the first one, with a job that has this progress.
    fn begin(after: Ms, unix: u64, progress: Option<Progress>) -> Self {
        let mut fixture = Self {
            leader: Leader::new(name("e"), Epoch(7), BOUNDS, BEGUN + after),
            unix,
            is_store_away: false,
            has_removed: false,
            starts: Vec::new(),
        };
        let job = accepted_job(vec![spec::Step {
            count: 1,
            ..spec::Step::default()
        }]);
        let events = vec![
            Event::Config(Arc::new(config())),
            Event::Accepted(Job(1), 30, job, progress),
            Event::Recovered,
            Event::Joined(name("e"), name("d")),
            Event::RegistrationChanged(name("w"), Some(registration("d"))),
            polled(Vec::new()),
        ];
        fixture.apply(after, events);
        fixture
    }

    fn apply(&mut self, after: Ms, events: Vec<Event>) {
        let now = BEGUN + after;
        let unix = Ms(self.unix) + after;
        let confirmed = [Event::LeadConfirmed(now)];
        let all = confirmed.into_iter().chain(events);
        for event in all.chain([Event::Tick(unix)]) {
            let actions = self.leader.handle(now, event);
            self.perform(now, actions);
        }
        let actions = self.leader.schedule(now);
        self.perform(now, actions);
    }

    fn perform(&mut self, now: Ms, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(_, Order::Start(start)) => self.starts.push(start),
                Action::Commit(_) if self.is_store_away => {
                    self.leader.handle(now, Event::CommitUnconfirmed);
                }
                Action::Commit(commit) => {
                    self.has_removed |= commit.removed.contains(&Job(1));
                    self.leader.handle(now, Event::Committed);
                }
                _ => {}
            }
        }
    }

    /// Reports that the task of the job is done.
    fn end(&mut self, after: Ms) {
        let [start] = &self.starts[..] else {
            panic!("{:?}", self.starts);
        };
        let end = End {
            number: 1,
            task: start.task,
            run: start.run,
            termination: Termination::Done,
            checkpoint: None,
        };
        self.apply(after, vec![polled(vec![end])]);
        self.apply(after + Ms(100), Vec::new());
    }

    fn stage(&self) -> Option<Stage> {
        self.leader.stage(Job(1))
    }

    /// Checks that the job is shown until `last`, and that its rows are removed in time.
    fn assert_kept_until(&mut self, last: Ms, case: &str) {
        self.apply(last, Vec::new());
        assert_eq!(self.stage(), COMPLETED, "{case}");
        self.apply(last + REMOVAL_TIME, Vec::new());
        assert_eq!(self.stage(), None, "{case}");
        assert!(self.has_removed, "{case}");
    }
}

fn polled(ended: Vec<End>) -> Event {
    let observation = Observation {
        worker: name("w"),
        incarnation: INCARNATION,
        polled_at: Ms(1),
        running: Some(Vec::new()),
        ended,
    };
    Event::Received(name("e"), Report::Polled(observation))
}

/// Returns the progress of a job that ended at this time of day.
fn ended_at(unix: u64) -> Option<Progress> {
    Some(Progress {
        has_started: true,
        ended: Some((Outcome::Completed, Ms(unix))),
        finished_occurrences: 1,
        steps: BTreeMap::new(),
    })
}

/// The time of day was set back while a job ended. When it was right again, the job had ended too
/// long ago, was removed, and its customer was told that it does not exist.
#[test]
fn an_ended_job_is_kept_for_its_time_when_the_time_of_day_jumps() {
    for (first, later) in [
        (UNIX - JUMP, UNIX),
        (UNIX, UNIX + JUMP),
        (UNIX + JUMP, UNIX),
    ] {
        let case = format!("{first}, then {later}");
        let mut fixture = Fixture::begin(Ms::ZERO, first, None);
        fixture.apply(Ms(100), Vec::new());
        fixture.end(Ms(1_000));
        assert_eq!(fixture.stage(), COMPLETED, "{case}");
        fixture.unix = later;
        fixture.assert_kept_until(Ms(1_000) + BOUNDS.retention, &case);
    }
}

/// The time of day of the leader under which a job ended differs from that of the next leader.
#[test]
fn an_ended_job_is_kept_for_its_time_by_a_leader_with_another_time_of_day() {
    for (ended, unix) in [
        (UNIX - JUMP, UNIX),
        (UNIX, UNIX + JUMP),
        (UNIX + JUMP, UNIX),
    ] {
        let case = format!("ended at {ended}, leads at {unix}");
        // The job ended when the first leader began.
        let mut fixture = Fixture::begin(Ms(10_000), unix, ended_at(ended));
        fixture.assert_kept_until(BOUNDS.retention, &case);
    }
}

/// The time begins when customers can be shown the end, not before.
#[test]
fn an_ended_job_is_kept_for_its_time_from_when_its_end_is_durable() {
    let mut fixture = Fixture::begin(Ms::ZERO, UNIX, None);
    fixture.apply(Ms(100), Vec::new());
    fixture.is_store_away = true;
    fixture.end(Ms(1_000));
    fixture.apply(Ms(10_000), Vec::new());
    assert_ne!(fixture.stage(), COMPLETED);
    fixture.is_store_away = false;
    fixture.apply(Ms(10_200), Vec::new());
    fixture.apply(Ms(10_300), Vec::new());
    assert_eq!(fixture.stage(), COMPLETED);
    fixture.assert_kept_until(Ms(10_200) + BOUNDS.retention, "store away");
}

/// No leader lasts as long as ended jobs are kept.
#[test]
fn rows_of_ended_jobs_are_removed_although_the_leader_changes_often() {
    const TERM: u64 = 20_000;
    for (ended, unix) in [(UNIX, UNIX), (UNIX - JUMP, UNIX), (UNIX + JUMP, UNIX)] {
        let most = BOUNDS.retention + REMOVAL_TIME + Ms(JUMP + TERM);
        let is_removed = |number: u64| {
            let begun = Ms(number * TERM);
            let mut fixture = Fixture::begin(begun, unix, ended_at(ended));
            fixture.apply(begun + Ms(TERM - 1), Vec::new());
            fixture.has_removed
        };
        let removed = (1..).find(|&number| is_removed(number)).unwrap_or(0);
        let age = Ms(removed * TERM);
        assert!(BOUNDS.retention <= age && age <= most, "{age}");
    }
}
