//! Tests of evictions while the board is replaced: evicted work must resume exactly once.

use decision::clock::Ms;
use decision::operator::Job;
use decision::piece::Record;
use decision::place::Board;
use decision::place::Order;
use decision::worker::Verb;

use crate::fake::World;
use crate::fake::job;
use crate::fake::name;
use crate::fake::piece;
use crate::fake::size;
use crate::fake::worker::Need;

const HOUR: Ms = Ms(3_600_000);

fn interfering_job(raw: &str, tasks: u32) -> Job {
    Job {
        kind: name("interfering"),
        run_time: Ms(60_000),
        ..job(raw, tasks, size(1_000, 1_000, 0))
    }
}

const NEED: Need = Need {
    work: Ms(60_000),
    size: size(1_000, 500, 0),
    fails: false,
};

/// Returns a world in which one interfering task runs and its eviction was just ordered.
fn evicting() -> World<Board> {
    let capacities = [size(4_000, 8_000, 0); 2];
    let mut world = World::new(Board::new(1), 1, &capacities, size(1_000, 1_000, 0));
    world.traffic = true;
    world.run(Ms(5_000));
    world.slowdowns.insert(name("interfering"), 30.0);
    world.submit(piece(interfering_job("a", 1)), NEED);
    for _ in 0..600 {
        world.run(Ms(100));
        if world.orders.iter().any(is_eviction) {
            return world;
        }
    }
    panic!("no eviction was ordered within a minute");
}

fn is_eviction(order: &Order) -> bool {
    let verb = match order {
        Order::Command { verb, .. } => verb,
        _ => return false,
    };
    matches!(verb, Verb::Stop { checkpoint, .. } if checkpoint.is_some())
}

/// Guards against work that is resumed twice, from the start, or never. The board is replaced by an
/// empty one at any step of an eviction: stop ordered, delivered, answered, record stored,
/// acknowledged, resumed.
#[test]
fn work_resumes_once_when_the_board_dies_during_an_eviction() {
    let mut stopped = 0;
    for delay in (0..1_000).step_by(10) {
        let mut world = evicting();
        world.run_exactly(Ms(delay));
        world.restart(Board::new(2));
        world.slowdowns.clear();
        world.run_until_ended(HOUR);
        let task = name("a#0");
        assert_eq!(world.records(), [Record::Done], "died after {delay} ms");
        assert_eq!(world.completions[&task], 1, "died after {delay} ms");
        // If the new owner's epoch reaches the worker before the stop, the stop is refused and the
        // task continues to run.
        let starts = &world.starts[&task];
        let stops = world.stops as usize;
        assert_eq!(starts.len(), 1 + stops, "died after {delay} ms: {starts:?}");
        if stops == 1 {
            let key = decision::task::checkpoint_key(&task, starts[0].0);
            assert_eq!(starts[1].1, Some(key), "died after {delay} ms");
            stopped += 1;
        }
    }
    assert!(stopped >= 90, "only {stopped} of 100 runs had an eviction");
}
