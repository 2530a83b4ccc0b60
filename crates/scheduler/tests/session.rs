//! Tests of what an agent may send and report in a session.

use decision::clock::Ms;
use scheduler::id::Epoch;
use scheduler::leader::LEADER_CONTACT_TIMEOUT;
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

/// Renewals and starts wait for an answer to a query, whose age the agent knows.
#[test]
fn the_contact_is_the_send_time_of_the_newest_answered_query_of_an_open_session() {
    let begin = || Session::new(Epoch(7), BEGUN);
    let cases = [
        ("open", begin(), vec![Ms(1_400)], Some(Ms(1_400))),
        (
            "out of order",
            begin(),
            vec![Ms(1_800), Ms(1_400)],
            Some(Ms(1_800)),
        ),
        ("before the session", begin(), vec![Ms(900)], Some(BEGUN)),
        ("lost", lost(begin()), vec![Ms(1_400)], Some(BEGUN)),
        ("ended", ended(begin()), vec![Ms(1_400)], None),
        ("fenced", fenced(begin()), vec![Ms(1_400)], None),
    ];
    for (case, mut session, sent_at, renewal) in cases {
        for sent_at in sent_at {
            session.confirm_contact(sent_at);
        }
        session.record_contact(Ms(2_000));
        assert_eq!(session.renewal_contact(), renewal, "{case}");
        let start = renewal.filter(|_| session.is_open());
        assert_eq!(session.start_contact(), start, "{case}");
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

/// What a leader sent before it died may arrive seconds later without a longer silence. The next
/// leader counts on the last renewal within 3 s of the death.
#[test]
fn renewals_end_in_time_however_late_the_messages_of_a_dead_leader_arrive() {
    const DEATH: Ms = Ms(21_000);
    const INTERVAL: usize = 400;
    for delay in (0..=10_000).step_by(500).map(Ms) {
        let mut session = Session::new(Epoch(7), BEGUN);
        // The delay grows slowly, so that no silence is long. Each message comes with the answer to
        // the query that the agent sent last.
        for sent_at in (BEGUN.0..DEATH.0).step_by(INTERVAL).map(Ms) {
            let read_at = sent_at + delay.min(sent_at.since(BEGUN));
            session.record_contact(read_at);
            session.confirm_contact(sent_at);
            assert!(session.is_open(), "delay {delay}");
        }
        let last_renewal = session.renewal_contact().expect("no end") + LEADER_CONTACT_TIMEOUT;
        assert!(last_renewal > DEATH, "delay {delay}: {last_renewal}");
        let limit = DEATH + LEADER_CONTACT_TIMEOUT;
        assert!(last_renewal <= limit, "delay {delay}: {last_renewal}");
    }
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
    later.confirm_contact(Ms(1_500));
    assert!(later.is_open() && !earlier.is_open());
    assert_eq!(earlier.renewal_contact(), None);
    assert_eq!(later.renewal_contact(), Some(Ms(1_500)));
}
