//! Tests of operators' calls.

use decision::config::Version;
use decision::operator::Action;
use decision::operator::Call;
use decision::operator::Refusal;
use decision::operator::Reply;

use crate::start;
use crate::world::Faults;
use crate::world::World;
use crate::world::sample::job;
use crate::world::sample::name;
use crate::world::sample::reconfigure;
use crate::world::sample::submit;

// Guards against entries that do not discover each other, groups that stay without an owner and
// jobs that are accepted but never run.
#[test]
fn a_job_runs_to_its_end() {
    let mut world = start(1, 3, 12, Faults::default());
    world.run(4_000);
    let owned = (0..3).map(|index| world.owned(&format!("e{index}")));
    assert_eq!(owned.sum::<usize>(), 6);
    let number = world.call("e0", submit("c1", job("j", 60)));
    world.run(6_000);
    assert_eq!(world.replies[&number].1, Reply::Accepted);
    world.run(40_000);
    assert_eq!(world.completed("j"), 60);
    assert!(world.table.rows.keys().all(|key| !key.starts_with("job/")));
    world.assert_clean();
}

// Guards against a configuration that is accepted but does not come into force on all entries
// within 3 s.
#[test]
fn a_configuration_is_in_force_everywhere_within_3_s() {
    let mut world = start(2, 9, 20, Faults::default());
    world.run(5_000);
    for round in 0..5 {
        let call = reconfigure(&format!("c{round}"), round, 3);
        let at = world.now;
        let number = world.call("e4", call);
        world.run(at + 3_000);
        let (_, reply) = &world.replies[&number];
        let Reply::Configured {
            in_force, pending, ..
        } = reply
        else {
            panic!("{reply:?}");
        };
        assert_eq!((in_force.len(), pending.len()), (9, 0));
        for entry in world.entries.values() {
            assert!(entry.configured[&(round + 1)] <= at + 3_000);
        }
    }
    world.assert_clean();
}

fn cancel(id: &str, job: &str) -> Call {
    Call {
        id: name(id),
        action: Action::Cancel { job: name(job) },
    }
}

fn call_and_wait(world: &mut World, entry: &str, call: Call) -> Reply {
    let number = world.call(entry, call);
    world.run(world.now + 9_000);
    world.replies[&number].1.clone()
}

// Guards against a repeated call that takes effect twice or is answered differently.
#[test]
fn a_call_sent_again_has_no_further_effect() {
    let mut world = start(3, 3, 6, Faults::default());
    world.run(3_000);
    for entry in ["e0", "e0", "e1", "e2"] {
        let reply = call_and_wait(&mut world, entry, submit("c1", job("j", 5)));
        assert_eq!(reply, Reply::Accepted, "at {entry}");
    }
    for entry in ["e0", "e1"] {
        let reply = call_and_wait(&mut world, entry, reconfigure("c2", 0, 3));
        assert!(
            matches!(
                reply,
                Reply::Configured {
                    version: Version(1),
                    ..
                }
            ),
            "{reply:?}"
        );
    }
    let other = call_and_wait(&mut world, "e1", submit("c1", job("k", 5)));
    assert!(
        matches!(other, Reply::Refused(Refusal::Invalid(_))),
        "{other:?}"
    );
    assert_eq!(world.completed("j"), 5);
    assert_eq!(world.table.configs.len(), 1);
    world.assert_clean();
}

// Guards against lost updates when operators change the configuration concurrently.
#[test]
fn the_loser_of_a_race_learns_the_version_in_force() {
    let mut world = start(4, 3, 6, Faults::default());
    world.run(3_000);
    let calls = ["e0", "e1", "e2"].map(|entry| {
        let call = reconfigure(&format!("call-{entry}"), 0, 3);
        world.call(entry, call)
    });
    world.run(8_000);
    let replies = calls.map(|number| world.replies[&number].1.clone());
    let won = |reply: &&Reply| {
        matches!(
            reply,
            Reply::Configured {
                version: Version(1),
                ..
            }
        )
    };
    let lost = Reply::Refused(Refusal::Conflict(Version(1)));
    assert_eq!(replies.iter().filter(won).count(), 1, "{replies:?}");
    assert_eq!(
        replies.iter().filter(|reply| **reply == lost).count(),
        2,
        "{replies:?}"
    );
    world.assert_clean();
}

// Guards against infeasible jobs that block others, and against refusals without a reason.
#[test]
fn refusals_name_their_reason() {
    let mut world = start(5, 2, 6, Faults::default());
    world.run(3_000);
    let mut large = job("large", 1);
    large.size.memory_mb = 64_000;
    let mut empty = job("empty", 1);
    empty.tasks = 0;
    let missing = Reply::Refused(Refusal::Missing);
    let cases = [
        (submit("c1", large), None),
        (submit("c2", empty), None),
        (cancel("c3", "unknown"), Some(missing)),
        (submit("c4", job("good", 3)), Some(Reply::Accepted)),
    ];
    for (call, expected) in cases {
        let reply = call_and_wait(&mut world, "e0", call.clone());
        match expected {
            Some(expected) => assert_eq!(reply, expected),
            None => assert!(
                matches!(
                    reply,
                    Reply::Refused(Refusal::Infeasible { .. } | Refusal::Invalid(_))
                ),
                "{call:?}: {reply:?}"
            ),
        }
    }
    assert_eq!(world.completed("good"), 3);
}

// Guards against cancelled tasks that keep running, and against cancellations left in the table.
#[test]
fn a_cancelled_job_ends() {
    let mut world = start(6, 3, 6, Faults::default());
    world.run(3_000);
    assert_eq!(
        call_and_wait(&mut world, "e0", submit("c1", job("j", 600))),
        Reply::Accepted
    );
    assert_eq!(
        call_and_wait(&mut world, "e1", cancel("c2", "j")),
        Reply::Accepted
    );
    world.run(world.now + 20_000);
    assert!(
        world
            .workers
            .values()
            .all(|worker| worker.task_count() == 0)
    );
    let open = world
        .table
        .rows
        .keys()
        .filter(|key| key.starts_with("job/"));
    assert_eq!(open.count(), 0);
    let status = Action::Status {
        job: Some(name("j")),
    };
    let reply = call_and_wait(
        &mut world,
        "e2",
        Call {
            id: name("c3"),
            action: status,
        },
    );
    let Reply::Status(status) = reply else {
        panic!("{reply:?}");
    };
    let job = &status.jobs[0];
    assert_eq!(job.done + job.cancelled, 600, "{job:?}");
    assert_eq!(job.pending + job.running, 0, "{job:?}");
    world.assert_clean();
}

// Guards against calls that are accepted during an outage, and against late refusals.
#[test]
fn an_outage_refuses_calls_at_once() {
    let faults = Faults {
        outages: vec![(3_000, 30_000)],
        ..Faults::default()
    };
    let mut world = start(7, 3, 6, faults);
    world.run(6_000);
    let calls = [submit("c1", job("j", 5)), reconfigure("c2", 0, 3)];
    for call in calls {
        let number = world.call("e1", call);
        world.run(world.now + 1_000);
        let reply = &world.replies[&number].1;
        assert_eq!(*reply, Reply::Refused(Refusal::Unavailable));
    }
    world.run(40_000);
    let retried = world.call("e1", submit("c1", job("j", 5)));
    world.run(60_000);
    assert_eq!(world.replies[&retried].1, Reply::Accepted);
    assert_eq!(world.completed("j"), 5);
    world.assert_clean();
}

// Guards against damaged records, and records of a newer build, that are decoded wrongly or
// overwritten.
#[test]
fn a_record_that_cannot_be_read_is_kept() {
    for damage in ["flip", "newer", "short"] {
        let mut world = start(8, 3, 6, Faults::default());
        world.run(3_000);
        let reply = call_and_wait(&mut world, "e0", reconfigure("c1", 0, 3));
        assert!(matches!(reply, Reply::Configured { .. }));
        for key in ["config", "group/rack-1"] {
            let row = world.table.rows.get_mut(key).unwrap();
            let mut value = row.value.to_vec();
            match damage {
                "flip" => *value.last_mut().unwrap() ^= 1,
                "newer" => value[0] = decision::record::FORMAT + 1,
                _ => value.truncate(3),
            }
            row.value = value.into();
        }
        let kept = ["config", "group/rack-1"].map(|key| world.table.rows[key].clone());
        let reply = call_and_wait(&mut world, "e1", reconfigure("c2", 1, 4));
        assert!(
            matches!(reply, Reply::Refused(Refusal::Invalid(_))),
            "{reply:?}"
        );
        for entry in ["e0", "e1"] {
            world.crash(entry);
        }
        world.run(world.now + 20_000);
        for row in kept {
            assert_eq!(world.table.rows[&row.key], row, "{damage}");
        }
        let entry = &world.entries["e2"];
        assert_eq!(entry.version, Some(Version(1)), "{damage}");
        assert!(entry.machine.damaged().contains_key("config"), "{damage}");
        world.assert_clean();
    }
}
