//! Tests of the order in which an agent sends its reports.

use scheduler::id::Epoch;
use scheduler::message::Report;

use crate::serve::session::Session;

const MAX_REPORTS: usize = 200;

/// A query that waits behind seconds of reports is answered too late, and leases are not renewed.
#[test]
fn a_contact_query_comes_after_the_first_report_and_before_all_others() {
    let (session, mut outgoing) = Session::begin(Epoch(7), MAX_REPORTS);
    // The kind of the first report does not matter here.
    while session.report(Report::Beat) {}
    session.query_contact();
    smol::block_on(async {
        let first = [Report::Beat, Report::numbering()];
        assert_eq!(outgoing.next_frame().await, first);
        let frame = outgoing.next_frame().await;
        let (query, others) = frame.split_first().expect("a frame");
        assert!(query.is_contact_query(), "{query:?}");
        assert!(!others.is_empty() && others.iter().all(|report| *report == Report::Beat));
        let mut sent = 1 + others.len();
        drop(session);
        loop {
            let frame = outgoing.next_frame().await;
            if frame.is_empty() {
                break;
            }
            sent += frame.len();
        }
        assert_eq!(sent, MAX_REPORTS);
    });
}
