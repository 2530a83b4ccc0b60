//! Tests of the order in which an agent sends its reports.

use std::time::Duration;

use scheduler::id::Epoch;
use scheduler::message::Order;
use smol::future::poll_once;

use super::*;
use crate::serve::flow::MAX_UNDER_WAY;
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

/// Takes all reports that may be sent now, with the queries for receipts that follow them, and
/// returns the number of reports and when those queries were sent.
async fn take_all(outgoing: &mut Outgoing) -> (usize, Vec<Ms>) {
    let mut count = 0;
    let mut receipts = Vec::new();
    while let Some(frame) = poll_once(outgoing.next_frame()).await {
        assert!(frame.iter().all(|report| *report == Report::Beat));
        count += frame.len();
        let query = outgoing.due_receipt_query();
        receipts.extend(query.as_ref().and_then(receipt_sent_at));
    }
    (count, receipts)
}

/// Returns what the agent reads from the answer of a leader to a query for a receipt.
fn receipt_sent_at(query: &Report) -> Option<Ms> {
    let Report::QueryStage(number, _) = query else {
        panic!("{query:?} is not answered by leaders of the previous build");
    };
    let answer = Order::Stage(*number, None);
    assert_eq!(answer.contact_query_sent_at(), None);
    answer.receipt_query_sent_at()
}

/// The leader reads only so many reports ahead, and a contact query that is sent after more of them
/// is read too late.
#[test]
fn a_bounded_number_of_reports_is_under_way_and_contact_queries_do_not_wait_for_receipts() {
    const REPORTS: usize = 1_000;
    let (session, mut outgoing) = Session::begin(Epoch(7), REPORTS);
    smol::block_on(async {
        assert!(session.report(Report::Beat));
        let first = [Report::Beat, Report::numbering()];
        assert_eq!(outgoing.next_frame().await, first);
        while session.report(Report::Beat) {}
        let (mut sent, mut receipts) = take_all(&mut outgoing).await;
        assert_eq!(sent, MAX_UNDER_WAY);
        session.query_contact();
        let frame = poll_once(outgoing.next_frame()).await;
        let is_query =
            frame.is_some_and(|frame| matches!(&frame[..], [query] if query.is_contact_query()));
        assert!(is_query);
        // A receipt of another session tells nothing of this one.
        session.record_receipt(Ms(1));
        assert_eq!(take_all(&mut outgoing).await, (0, Vec::new()));
        while sent < REPORTS {
            assert!(!receipts.is_empty(), "{sent} reports were sent");
            session.record_receipt(receipts.remove(0));
            let (more, queries) = take_all(&mut outgoing).await;
            assert!(more <= MAX_UNDER_WAY);
            sent += more;
            receipts.extend(queries);
        }
        assert_eq!(sent, REPORTS);
    });
}

/// A frame that waits for room goes on as soon as there is some.
#[test]
fn a_receipt_wakes_the_sender_of_reports() {
    let (session, mut outgoing) = Session::begin(Epoch(7), 2 * MAX_UNDER_WAY);
    smol::block_on(async {
        assert!(session.report(Report::Beat));
        outgoing.next_frame().await;
        while session.report(Report::Beat) {}
        let (_, receipts) = take_all(&mut outgoing).await;
        let answer = async {
            smol::Timer::after(Duration::from_millis(20)).await;
            session.record_receipt(receipts[0]);
            pending().await
        };
        let timeout = async {
            smol::Timer::after(Duration::from_millis(2_000)).await;
            Vec::new()
        };
        let frame = outgoing.next_frame().or(answer).or(timeout).await;
        assert!(!frame.is_empty());
    });
}
