//! Guards against a check that reports a violation in a history that keeps all invariants.

use decision::operator::Reply;
use history::Ending;
use history::Fact;
use history::Life;
use history::check;

use crate::facts::History;
use crate::facts::acknowledged;
use crate::facts::answered;
use crate::facts::cancel;
use crate::facts::checkpoint;
use crate::facts::configured;
use crate::facts::crashed;
use crate::facts::drain;
use crate::facts::end;
use crate::facts::entry;
use crate::facts::in_force;
use crate::facts::listed;
use crate::facts::log;
use crate::facts::received;
use crate::facts::reconfigure;
use crate::facts::recorded;
use crate::facts::refused;
use crate::facts::replied;
use crate::facts::run;
use crate::facts::run_end;
use crate::facts::sent;
use crate::facts::start;
use crate::facts::store;
use crate::facts::stored;
use crate::facts::submit;
use crate::facts::worker;

fn good_tasks() -> Vec<History> {
    vec![
        vec![
            (0, worker("w1")),
            (0, worker("w2")),
            (0, submit()),
            (1, replied("submit", Reply::Accepted)),
            (2, start("w1", 1, None)),
            (3, checkpoint("w1", 1, "k")),
            (4, end("w1", 1, Ending::Stopped)),
            (5, start("w2", 2, Some("k"))),
            (6, end("w2", 2, Ending::Completed)),
            (7, recorded(Ending::Completed)),
            (9, Fact::Settled),
        ],
        // No owner stored the completion, so the task has to run again after the crash.
        vec![
            (0, worker("w1")),
            (0, worker("w2")),
            (1, start("w1", 1, None)),
            (2, end("w1", 1, Ending::Completed)),
            (3, crashed("w1")),
            (4, start("w2", 2, None)),
        ],
        // Only the failed attempt was acknowledged before the crash, and nothing was stored, so the
        // next owner counts attempts from the start.
        vec![
            (0, worker("w1")),
            (0, worker("w2")),
            (1, start("w1", 1, None)),
            (2, end("w1", 1, Ending::Failed)),
            (3, acknowledged("w1", 1)),
            (4, start("w1", 2, None)),
            (5, end("w1", 2, Ending::Completed)),
            (6, crashed("w1")),
            (7, start("w2", 1, None)),
        ],
        // The acknowledgement of an earlier failure does not acknowledge the completion.
        vec![
            (0, worker("w1")),
            (0, worker("w2")),
            (1, start("w2", 1, None)),
            (2, end("w2", 1, Ending::Failed)),
            (3, acknowledged("w2", 1)),
            (4, start("w1", 2, None)),
            (5, end("w1", 2, Ending::Completed)),
            (6, crashed("w1")),
            (7, start("w2", 3, None)),
        ],
        // A task may be recorded as failed if its job is not known to be feasible.
        vec![(1, recorded(Ending::Failed))],
        // The owner learned of the completion before the crash and stores it afterwards.
        vec![
            (0, worker("w1")),
            (1, start("w1", 1, None)),
            (2, end("w1", 1, Ending::Completed)),
            (3, crashed("w1")),
            (4, recorded(Ending::Completed)),
        ],
        vec![
            (0, worker("w1")),
            (0, worker("w2")),
            (1, start("w1", 1, None)),
            (3, crashed("w1")),
            (4, start("w2", 2, None)),
        ],
        vec![
            (0, worker("w1")),
            (0, submit()),
            (1, replied("submit", Reply::Accepted)),
            (2, start("w1", 1, None)),
            (3, cancel()),
            (4, end("w1", 1, Ending::Stopped)),
            (9, Fact::Settled),
        ],
    ]
}

fn good_requests() -> Vec<History> {
    vec![
        vec![
            (0, worker("w1")),
            (0, sent(1, 0, false)),
            (1, run("a", "1/0")),
            (2, run_end("a")),
            (3, received(1, 0, None)),
            (4, sent(1, 1, false)),
            (5, received(1, 1, answered(b"1/0"))),
            (9_000, Fact::Settled),
        ],
        // The caller sends a refused request again, and the second sending runs.
        vec![
            (0, worker("w1")),
            (0, sent(1, 0, false)),
            (1, received(1, 0, refused())),
            (2, sent(1, 1, false)),
            (3, run("a", "1/1")),
            (4, run_end("a")),
            (5, received(1, 1, answered(b"1/1"))),
        ],
        // A repeatable request may run more than once, and a refused retry does not imply that no
        // earlier sending ran.
        vec![
            (0, worker("w1")),
            (0, sent(1, 0, true)),
            (1, run("a", "1/0")),
            (2, run_end("a")),
            (3, received(1, 0, None)),
            (4, sent(1, 1, true)),
            (5, received(1, 1, refused())),
        ],
        // A paused entry cannot answer in time.
        vec![
            (0, entry(Life::Started)),
            (1, sent(1, 0, true)),
            (2, entry(Life::Paused)),
            (9_000, Fact::Settled),
        ],
    ]
}

fn good_fleet() -> Vec<History> {
    vec![
        vec![(0, worker("w1")), (1, listed(true)), (3_001, run("a", "x"))],
        vec![
            (0, worker("w1")),
            (1, listed(true)),
            (2, listed(false)),
            (9_001, run("a", "x")),
        ],
        // A second reply to the drain arrives after the worker returned to service.
        vec![
            (0, worker("w1")),
            (1, drain("drain", true)),
            (2, replied("drain", Reply::Accepted)),
            (3, drain("back", false)),
            (4, replied("back", Reply::Accepted)),
            (5, replied("drain", Reply::Accepted)),
            (9_001, run("a", "x")),
        ],
        // The earlier return to service has no reply yet and may take effect after the drain.
        vec![
            (0, worker("w1")),
            (1, drain("back", false)),
            (2, drain("drain", true)),
            (3, replied("drain", Reply::Accepted)),
            (4, replied("back", Reply::Accepted)),
            (9_001, run("a", "x")),
        ],
        vec![
            (0, entry(Life::Started)),
            (1, sent(1, 0, true)),
            (2, entry(Life::Stopping)),
            (3, entry(Life::Crashed)),
            (4, received(1, 0, None)),
        ],
        vec![
            (0, entry(Life::Started)),
            (1, sent(1, 0, true)),
            (2, entry(Life::Stopping)),
            (3, received(1, 0, refused())),
            (4, entry(Life::Exited)),
        ],
    ]
}

fn good_config() -> Vec<History> {
    let started = || (0, entry(Life::Started));
    vec![
        vec![
            started(),
            (0, reconfigure("a")),
            (1, stored(2)),
            (2, in_force(2)),
            (3, replied("a", configured(2))),
            (9_000, Fact::Settled),
        ],
        vec![
            started(),
            (1, stored(2)),
            (2, entry(Life::Crashed)),
            (9_000, Fact::Settled),
        ],
        vec![
            started(),
            (1, store(false)),
            (2, stored(2)),
            (9_000, Fact::Settled),
        ],
        vec![
            started(),
            (1, stored(2)),
            (2, entry(Life::Paused)),
            (8_000, entry(Life::Resumed)),
            (8_500, in_force(2)),
            (19_000, Fact::Settled),
        ],
        // A new process starts without a configuration and may first load an older version.
        vec![
            started(),
            (1, stored(2)),
            (2, in_force(2)),
            (3, entry(Life::Crashed)),
            (4, entry(Life::Started)),
            (5, in_force(1)),
            (6, in_force(2)),
            (9_000, Fact::Settled),
        ],
    ]
}

#[test]
fn histories_that_keep_the_invariants_are_accepted() {
    let cases = [good_tasks(), good_requests(), good_fleet(), good_config()];
    for (index, history) in cases.into_iter().flatten().enumerate() {
        let found = check(&log(history.clone()));
        assert!(found.is_empty(), "case {index}: {history:#?}: {found:#?}");
    }
}
