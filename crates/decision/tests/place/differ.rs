//! A comparison of the baseline with the current board: both must run the same jobs.

use decision::clock::Ms;
use decision::naive;
use decision::name::Name;
use decision::operator::Job;
use decision::piece::Record;
use decision::place::Board;
use decision::place::Event;
use decision::place::Order;
use decision::place::Read;
use decision::resource::Size;
use decision::step::Step;
use proptest::prelude::ProptestConfig;
use proptest::prelude::Strategy;
use proptest::proptest;
use proptest::test_runner::RngSeed;

use crate::fake::World;
use crate::fake::job;
use crate::fake::name;
use crate::fake::piece;
use crate::fake::size;
use crate::fake::worker::Need;

const RESERVE: Size = size(1_000, 1_000, 0);

fn amount() -> impl Strategy<Value = Size> {
    (1..12u32, 1..12u32, 0..3u32).prop_map(|(cores, gigabytes, accelerators)| {
        size(cores * 1_000, gigabytes * 1_000, accelerators)
    })
}

fn jobs(sizes: &[Size]) -> Vec<Job> {
    let numbered = sizes.iter().enumerate();
    numbered
        .map(|(index, size)| job(&format!("job{index}"), 2, *size))
        .collect()
}

/// Submits all jobs and runs the world long enough for their tasks to run one after another.
/// Returns the names of the completed jobs, and the world.
fn run<B>(board: B, capacities: &[Size], sizes: &[Size]) -> (Vec<Name>, World<B>)
where
    B: Step<Event = Event, Action = Order> + Read,
{
    let mut world = World::new(board, 3, capacities, RESERVE);
    for job in jobs(sizes) {
        let need = Need {
            work: Ms(500),
            size: size(job.size.millicores, 500, 0),
            fails: false,
        };
        world.submit(piece(job), need);
    }
    world.run(Ms(180_000));
    let all_done = |tasks: &[Record]| tasks.iter().all(|task| *task == Record::Done);
    let done = world.table.values().filter(|piece| all_done(&piece.tasks));
    (done.map(|piece| piece.job.name.clone()).collect(), world)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 48,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        max_shrink_iters: 8,
        ..ProptestConfig::default()
    })]

    /// Guards against jobs that fit on a worker but never run, for example because a job that fits
    /// nowhere blocks them, and against jobs that fit nowhere but are not offered to other groups.
    #[test]
    fn both_boards_run_exactly_what_fits(
        capacities in proptest::collection::vec(amount(), 1..5),
        sizes in proptest::collection::vec(amount(), 1..12),
    ) {
        let fits = |job: &Job| {
            let mut rooms = capacities.iter().map(|capacity| capacity.minus(RESERVE));
            rooms.any(|room| job.size.fits(room))
        };
        let (fit, unfit): (Vec<Job>, Vec<Job>) = jobs(&sizes).into_iter().partition(fits);
        let mut fit: Vec<Name> = fit.into_iter().map(|job| job.name).collect();
        fit.sort_unstable();
        let (current, world) = run(Board::new(1), &capacities, &sizes);
        let (baseline, _) = run(naive::Board::new(1), &capacities, &sizes);
        assert_eq!(current, fit, "current");
        assert_eq!(baseline, fit, "baseline");
        for job in unfit {
            let offer = Order::Surplus(name(&format!("{}.0", job.name)));
            assert!(world.orders.contains(&offer), "{} is not offered", job.name);
        }
    }
}
