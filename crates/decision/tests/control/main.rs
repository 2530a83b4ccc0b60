//! Tests of several control paths in virtual time.

mod calls;
mod chaos;
mod drains;
mod ownership;
mod proofs;
mod rig;
mod search;
mod world;

use world::Faults;
use world::World;

fn start(seed: u64, entries: usize, workers: usize, faults: Faults) -> World {
    let mut world = World::new(seed, workers, faults);
    for index in 0..entries {
        world.join(&format!("e{index}"));
    }
    world
}
