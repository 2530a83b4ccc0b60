//! Tests of how the leader's own agent reaches the driver.

use decision::clock::Ms;
use scheduler::id::Epoch;
use scheduler::id::Job;
use smol::future::poll_once;

use super::*;
use crate::serve::clock;
use crate::serve::inbox;
use crate::serve::testing::options;

/// The session of the agent ends 1.4 s after it has begun, because no driver sends heartbeats.
const TEST_TIME: Ms = Ms(1_100);

/// A report of the leader's own agent that waits for room in a full queue must not hold up its
/// contact queries, without which it renews no leases.
#[test]
fn contact_queries_of_the_own_agent_overtake_a_report_that_waits() {
    let unused = "127.0.0.1:9".parse().expect("an address");
    let shared = Arc::new(Shared::new(options(unused)).expect("no port is needed"));
    let spawner = Arc::clone(&shared.spawner);
    smol::block_on(spawner.run(async {
        let (inputs, inbox) = inbox::new();
        let leadership = Arc::new(Leadership::new(Epoch(7), Ms::ZERO, inputs.clone()));
        let running = run(Arc::clone(&shared), Arc::clone(&leadership));
        let _running = shared.spawner.spawn(running);
        let begun = clock::now();
        let joined = inbox.next(TEST_TIME).await;
        assert!(matches!(joined, Some(Input::Joined(..))), "{joined:?}");

        let other = || Input::Left(shared.options.name.clone(), 0);
        while poll_once(inputs.send(other())).await.is_some() {}
        let queued = inbox.len();
        shared.agent.report_cancellation(Job(1));
        while inbox.len() == queued && clock::now().since(begun) < TEST_TIME {
            sleep(Ms(5)).await;
        }
        let first = inbox.try_next();
        assert!(matches!(first, Some(Input::Queried(..))), "{first:?}");
    }));
}
