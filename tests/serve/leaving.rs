//! Tests of workers that leave while their runs go on.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::fleet::Fleet;
use crate::fleet::wait_until;
use crate::proxy::Mode;
use crate::start;

const ONE_TASK_JOB: &str = r#"{"taskSpec":"x","steps":[
    {"count":1,"cpu":500,"memMb":100,"estimateMs":150}]}"#;
/// The time for which the lease is certainly valid: 6 s after the last renewal, less the interval of
/// renewals and the time in which the sockets are closed.
const LEASE_TIME: Duration = Duration::from_millis(4_500);

/// A draining worker whose registration was removed and whose sockets were closed counted as gone,
/// and its task started elsewhere while the first run worked under its lease.
#[test]
fn a_task_of_a_draining_worker_that_closes_its_sockets_starts_elsewhere_after_its_lease() {
    let fleet = Fleet::start(2);
    fleet.cluster().runs_forever = true;
    let entry = start(&fleet, &["a"]).remove(0);
    let job = "00000000000000e1";
    fleet.submit(entry.customer, job, ONE_TASK_JOB);
    wait_until("the run", 10_000, || fleet.cluster().running() == 1);
    let is_at = |index: usize| {
        let cluster = fleet.cluster();
        !cluster.workers[&format!("i-{index}")].executions.is_empty()
    };
    let first = usize::from(is_at(1));
    fleet.register(first, "draining");
    wait_until("the registration", 5_000, || {
        entry.read_log().contains("kind=worker-draining")
    });
    fleet.store.remove("servers", &format!("i-{first}"));
    wait_until("the removal", 5_000, || {
        entry.read_log().contains("kind=worker-unlisted")
    });
    fleet.worker_proxies[first].set(Mode::Refuse);
    let closed = Instant::now();
    while closed.elapsed() < LEASE_TIME {
        assert!(!is_at(1 - first), "started after {:?}", closed.elapsed());
        thread::sleep(Duration::from_millis(20));
    }
    wait_until("the start elsewhere", 10_000, || is_at(1 - first));
    fleet.assert_no_violations();
}
