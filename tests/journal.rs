//! Tests of the timeline buffer and its log lines.

use decision::clock::Ms;
use decision::name::Name;
use decision::timeline::Event;
use decision::timeline::Filter;
use decision::timeline::Kind;
use decision::timeline::Note;
use samphiretrail::journal;
use samphiretrail::journal::Journal;
use samphiretrail::logs;

fn name(raw: &str) -> Name {
    Name::try_from(raw).expect("the name is valid")
}

fn note(subject: &str) -> Note {
    Note {
        kind: Kind::TaskStarted,
        subject: subject.into(),
        vm: None,
        epoch: None,
        cause: "fits best".into(),
    }
}

fn subjects(events: &[Event]) -> Vec<&str> {
    events
        .iter()
        .map(|event| event.note.subject.as_str())
        .collect()
}

/// Guards against a buffer that grows without bound or retains the oldest events.
#[test]
fn the_newest_events_are_kept() {
    let journal = Journal::new(name("entry-1"), 3);
    for subject in ["a", "b", "c", "d", "e"] {
        journal.record(Ms(1), note(subject));
    }
    let all = Filter::default();
    assert_eq!(subjects(&journal.select(&all, 9)), ["c", "d", "e"]);
    assert_eq!(subjects(&journal.select(&all, 2)), ["d", "e"]);
}

/// Guards against a burst of refusals that displaces other events of the timeline.
#[test]
fn events_of_requests_are_kept_apart() {
    let journal = Journal::new(name("entry-1"), 3);
    journal.record(Ms(1), note("task"));
    for subject in ["1", "2", "3", "4"] {
        let kind = Kind::RequestRefused;
        journal.record(
            Ms(1),
            Note {
                kind,
                ..note(subject)
            },
        );
    }
    let all = Filter::default();
    assert_eq!(subjects(&journal.select(&all, 9)), ["task", "2", "3", "4"]);
    assert_eq!(subjects(&journal.select(&all, 2)), ["3", "4"]);
}

/// Guards against an effect that is listed before its cause at another entry.
#[test]
fn events_are_merged_in_causal_order() {
    let (sender, receiver) = (Journal::new(name("b"), 9), Journal::new(name("a"), 9));
    sender.record(Ms(9), note("cause"));
    sender.record(Ms(9), note("cause 2"));
    let sent = sender.tick();
    receiver.record(Ms(1), note("concurrent"));
    receiver.advance_to(sent);
    receiver.record(Ms(2), note("effect"));
    sender.record(Ms(10), note("later"));
    let all = Filter::default();
    let mut events = [sender.select(&all, 9), receiver.select(&all, 9)].concat();
    journal::merge(&mut events);
    let expected = ["concurrent", "cause", "cause 2", "effect", "later"];
    assert_eq!(subjects(&events), expected);
}

/// Guards against a slow watcher that blocks the entry, or whose stream continues after lost
/// events.
#[test]
fn the_stream_of_a_slow_watcher_ends() {
    let journal = Journal::new(name("entry-1"), 9);
    let events = journal.watch(Filter::default());
    for _ in 0..2_000 {
        journal.record(Ms(1), note("a"));
    }
    let received = std::iter::from_fn(|| events.recv_blocking().ok()).count();
    assert_eq!(received, 1_024);
}

/// Guards against log lines that cannot be split at their spaces.
#[test]
fn log_lines_are_pairs() {
    let journal = Journal::new(name("entry-1"), 9);
    let event = journal.record(Ms(7), note("a \"b\"\n c=d"));
    let expected = "entry=entry-1 lamport=1 at_ms=7 kind=task-started \
                    subject=\"a \\\"b\\\"\\n c=d\" cause=\"fits best\"";
    assert_eq!(logs::line(&event), expected);
}
