//! Guards against a check that does not report a violated invariant.

use decision::operator::Reply;
use decision::request::Outcome;
use history::Check;
use history::Ending;
use history::Fact;
use history::Life;
use history::check;

use crate::facts::History;
use crate::facts::acknowledged;
use crate::facts::answered;
use crate::facts::checkpoint;
use crate::facts::configured;
use crate::facts::crashed;
use crate::facts::drain;
use crate::facts::end;
use crate::facts::entry;
use crate::facts::feasible;
use crate::facts::in_force;
use crate::facts::listed;
use crate::facts::log;
use crate::facts::name;
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

fn bad_capacity() -> Vec<History> {
    let grants = || {
        let mut other = start("w1", 2, None);
        if let Fact::TaskStarted { task, .. } = &mut other {
            *task = name("job#1");
        }
        vec![(0, worker("w1")), (1, start("w1", 1, None)), (2, other)]
    };
    let overfull = Fact::Overfull {
        vm: name("w1"),
        work: "job#1".into(),
    };
    vec![
        grants(),
        vec![(0, worker("w1")), (1, run("a", "x")), (2, run("b", "y"))],
        vec![(0, worker("w1")), (1, overfull)],
    ]
}

fn bad_tasks() -> Vec<(Check, History)> {
    let single_place = Check::SinglePlace;
    let resume_once = Check::ResumeOnce;
    let nothing_lost = Check::NothingLost;
    let stop = |at| (at, end("w1", 1, Ending::Stopped));
    let done = |at| (at, end("w1", 1, Ending::Completed));
    let begin = || (1, start("w1", 1, None));
    let accepted = || vec![(0, submit()), (1, replied("submit", Reply::Accepted))];
    let mut unfinished = accepted();
    unfinished.extend([begin(), (9, Fact::Settled)]);
    vec![
        (single_place, vec![begin(), (2, start("w2", 2, None))]),
        (
            single_place,
            vec![begin(), (2, crashed("w2")), (3, start("w2", 2, None))],
        ),
        (
            resume_once,
            vec![begin(), stop(2), (3, start("w2", 1, None))],
        ),
        (
            resume_once,
            vec![
                (1, start("w1", 2, None)),
                (2, end("w1", 2, Ending::Stopped)),
                begin(),
            ],
        ),
        (
            resume_once,
            vec![
                begin(),
                (2, checkpoint("w1", 1, "k")),
                stop(3),
                (4, start("w2", 2, None)),
            ],
        ),
        (
            resume_once,
            vec![begin(), stop(3), (4, start("w2", 2, Some("other")))],
        ),
        (resume_once, vec![begin(), stop(3), (9, Fact::Settled)]),
        (
            nothing_lost,
            vec![begin(), done(2), (3, start("w2", 2, None))],
        ),
        (
            nothing_lost,
            vec![
                begin(),
                done(2),
                (3, recorded(Ending::Completed)),
                (4, crashed("w1")),
                (5, start("w2", 2, None)),
            ],
        ),
        (
            nothing_lost,
            vec![
                begin(),
                done(2),
                (3, acknowledged("w1", 1)),
                (4, crashed("w1")),
                (5, start("w2", 2, None)),
            ],
        ),
        // The crash of another worker does not allow the attempt's number to be used again.
        (
            resume_once,
            vec![
                begin(),
                stop(2),
                (3, crashed("w3")),
                (4, start("w2", 1, None)),
            ],
        ),
        (nothing_lost, vec![(1, recorded(Ending::Completed))]),
        (
            nothing_lost,
            vec![(0, feasible()), (1, recorded(Ending::Failed))],
        ),
        (
            nothing_lost,
            vec![
                begin(),
                done(2),
                (3, recorded(Ending::Completed)),
                (4, recorded(Ending::Failed)),
            ],
        ),
        (nothing_lost, unfinished),
    ]
}

fn bad_requests() -> Vec<(Check, History)> {
    let whole_answer = Check::WholeAnswer;
    let true_refusal = Check::TrueRefusal;
    let at_most_once = Check::AtMostOnce;
    let ran = |at| (at, run("a", "1/0"));
    let first = |repeatable| (0, sent(1, 0, repeatable));
    let mut truncated = answered(b"1/0");
    if let Some(Outcome::Answered(answer)) = &mut truncated {
        answer.body.truncate(4);
    }
    vec![
        (
            whole_answer,
            vec![first(true), ran(1), (2, received(1, 0, answered(b"2/0")))],
        ),
        (
            whole_answer,
            vec![first(true), ran(1), (2, received(1, 0, truncated))],
        ),
        (
            whole_answer,
            vec![first(true), (2, received(1, 0, answered(b"1/0")))],
        ),
        (whole_answer, vec![first(true), (9_000, Fact::Settled)]),
        (
            whole_answer,
            vec![
                (0, entry(Life::Paused)),
                (1, entry(Life::Resumed)),
                (2, sent(1, 0, true)),
                (9_000, Fact::Settled),
            ],
        ),
        (
            true_refusal,
            vec![first(true), ran(1), (2, received(1, 0, refused()))],
        ),
        (
            true_refusal,
            vec![first(true), (2, received(1, 0, refused())), ran(3)],
        ),
        (
            true_refusal,
            vec![
                first(false),
                ran(1),
                (2, received(1, 0, None)),
                (3, sent(1, 1, false)),
                (4, received(1, 1, refused())),
            ],
        ),
        (
            at_most_once,
            vec![
                first(false),
                ran(1),
                (2, run_end("a")),
                (3, run("b", "1/0")),
            ],
        ),
        (
            at_most_once,
            vec![
                first(false),
                ran(1),
                (2, run_end("a")),
                (2, sent(1, 1, false)),
                (3, run("b", "1/1")),
            ],
        ),
    ]
}

fn bad_fleet() -> Vec<(Check, History)> {
    let drained = (2, replied("drain", Reply::Accepted));
    let again = (2_900, replied("drain", Reply::Accepted));
    let returned = (2, replied("back", Reply::Accepted));
    vec![
        (
            Check::Leaving,
            vec![(0, listed(true)), (3_001, run("a", "x"))],
        ),
        (
            Check::Leaving,
            vec![(0, listed(true)), (3_001, start("w1", 1, None))],
        ),
        (
            Check::Leaving,
            vec![
                (1, drain("drain", true)),
                drained.clone(),
                (3_003, run("a", "x")),
            ],
        ),
        // A second reply to the same drain call does not extend the time.
        (
            Check::Leaving,
            vec![
                (1, drain("drain", true)),
                drained,
                again.clone(),
                (3_003, run("a", "x")),
            ],
        ),
        (
            Check::Leaving,
            vec![
                (1, drain("back", false)),
                returned,
                (3, drain("drain", true)),
                again,
                (5_901, run("a", "x")),
            ],
        ),
        (
            Check::GracefulStop,
            vec![
                (0, entry(Life::Started)),
                (1, sent(1, 0, true)),
                (2, entry(Life::Stopping)),
                (3, entry(Life::Exited)),
                (4, received(1, 0, None)),
            ],
        ),
    ]
}

fn bad_config() -> Vec<(Check, History)> {
    let started = || (0, entry(Life::Started));
    let histories = vec![
        vec![
            started(),
            (1, stored(2)),
            (2, in_force(2)),
            (3, in_force(1)),
        ],
        vec![(1, stored(2)), (2, stored(1))],
        vec![(1, stored(2)), (2, stored(2))],
        vec![started(), (1, stored(2)), (3_002, Fact::Settled)],
        vec![
            started(),
            (1, store(false)),
            (2, stored(2)),
            (5_000, store(true)),
            (8_001, Fact::Settled),
        ],
        vec![(0, reconfigure("a")), (1, replied("a", configured(2)))],
        vec![
            (0, reconfigure("a")),
            (0, reconfigure("b")),
            (1, stored(2)),
            (2, replied("a", configured(2))),
            (3, replied("b", configured(2))),
        ],
    ];
    let checked = histories.into_iter();
    checked.map(|history| (Check::Config, history)).collect()
}

#[test]
fn violated_invariants_are_found() {
    let capacity = bad_capacity().into_iter();
    let mut cases: Vec<_> = capacity.map(|bad| (Check::Capacity, bad)).collect();
    cases.extend(bad_tasks());
    cases.extend(bad_requests());
    cases.extend(bad_fleet());
    cases.extend(bad_config());
    for (index, (expected, history)) in cases.into_iter().enumerate() {
        let found = check(&log(history.clone()));
        let reported = found.iter().any(|violation| violation.check == expected);
        assert!(
            reported,
            "case {index}: {expected:?} missed in {history:#?}: {found:#?}"
        );
    }
}
