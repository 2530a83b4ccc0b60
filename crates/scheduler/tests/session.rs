//! Tests of what an agent may send and report in a session.

use decision::clock::Ms;
use scheduler::id::Epoch;
use scheduler::session::Session;

const BEGUN: Ms = Ms(1_000);

fn lost(mut session: Session) -> Session {
    session.lose();
    session
}

fn ended(mut session: Session) -> Session {
    session.end();
    session
}

fn fenced(mut session: Session) -> Session {
    session.fence();
    session
}

#[test]
fn a_session_reports_starts_and_renews_by_its_state() {
    let begin = || Session::new(Epoch(7), BEGUN);
    let cases = [
        ("open", begin(), true, Some(BEGUN), Some(BEGUN)),
        ("lost", lost(begin()), false, None, Some(BEGUN)),
        ("ended", ended(begin()), false, None, None),
        ("lost, ended", ended(lost(begin())), false, None, None),
        ("ended, lost", lost(ended(begin())), false, None, None),
        ("fenced", fenced(begin()), false, None, None),
        ("lost, fenced", fenced(lost(begin())), false, None, None),
    ];
    for (case, session, is_open, start, renewal) in cases {
        assert_eq!(session.is_open(), is_open, "{case}");
        assert_eq!(session.start_contact(), start, "{case}");
        assert_eq!(session.renewal_contact(), renewal, "{case}");
        assert_eq!(session.has_ended(), renewal.is_none(), "{case}");
        assert_eq!(session.epoch(), Epoch(7), "{case}");
    }
}

#[test]
fn a_heartbeat_counts_only_in_an_open_session() {
    let begin = || Session::new(Epoch(7), BEGUN);
    let cases = [
        ("open", begin(), Ms(1_400)),
        ("lost", lost(begin()), BEGUN),
        ("ended", ended(begin()), BEGUN),
        ("fenced", fenced(begin()), BEGUN),
    ];
    for (case, mut session, last_contact) in cases {
        session.record_contact(Ms(1_400));
        assert_eq!(session.last_contact(), last_contact, "{case}");
    }
}

/// The messages that a leader sent before an agent's machine was suspended are read when it runs
/// again, and its timers do not count that time.
#[test]
fn a_heartbeat_after_a_long_silence_is_no_sign_of_life() {
    let mut session = Session::new(Epoch(7), BEGUN);
    session.record_contact(BEGUN + Ms(1_400));
    session.record_contact(BEGUN + Ms(6_000));
    assert_eq!(session.last_contact(), BEGUN + Ms(1_400));
    assert_eq!(session.start_contact(), None);
}

/// A refusal that arrives after the next session began does not concern that session.
#[test]
fn a_refused_token_ends_only_the_session_of_the_call() {
    let later = Session::new(Epoch(9), Ms(1_200));
    let earlier = fenced(ended(Session::new(Epoch(7), BEGUN)));
    assert!(earlier.is_fenced() && !later.is_fenced());
    assert!(later.is_open());
}

/// The leader of one epoch may be followed again over another connection. Results of the earlier
/// session then belong to neither.
#[test]
fn another_session_in_the_same_epoch_does_not_revive_an_ended_one() {
    let earlier = ended(Session::new(Epoch(7), BEGUN));
    let mut later = Session::new(Epoch(7), Ms(1_200));
    later.record_contact(Ms(1_500));
    assert!(later.is_open() && !earlier.is_open());
    assert_eq!(earlier.renewal_contact(), None);
    assert_eq!(later.renewal_contact(), Some(Ms(1_500)));
}
