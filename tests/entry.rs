//! Whole entries over real sockets.

use samphiretrail::daemon::Daemon;

use self::common::Caller;
use self::common::Fleet;
use self::common::configure;
use self::common::wait;

mod common;

/// Guards against a break anywhere on the path from a caller to a target and back.
#[test]
fn a_caller_gets_the_whole_answer_of_a_target() {
    let fleet = Fleet::start(2);
    let daemon = Daemon::start(fleet.settings("entry-1")).expect("the entry starts");
    configure(&daemon);
    let caller = Caller::new();
    wait("an answer", || {
        let headers = [("x-repeatable", "yes")];
        let path = "/call/orders/place";
        let answer = caller.send(daemon.caller(), "POST", path, &headers, "lamp");
        let answer = answer.expect("the entry answers");
        answer.headers()["x-outcome"] == "answered" && answer.body() == "lamp"
    });
    assert!(daemon.stop(true), "the entry stops in time");
}
