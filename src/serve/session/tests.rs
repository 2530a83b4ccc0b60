//! Tests of what a session tells the leader of reports that it dropped.

use super::*;

/// Reports are dropped while the leader reads none, and an echo would tell it that there were none.
#[test]
fn a_session_that_has_just_dropped_a_report_is_not_complete() {
    let (session, _outgoing) = Session::begin(Epoch(7), 1);
    assert!(session.report(Report::Beat));
    assert!(session.is_complete());
    assert!(!session.report(Report::Beat));
    assert!(!session.is_complete());
}
