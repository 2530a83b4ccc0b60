//! Loops that send ticks to the state machines and read the list of VMs.

use std::collections::BTreeSet;
use std::mem;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use decision::control;
use decision::request;
use link::Spawner;
use smol::Timer;

use super::shell::Shell;

const REQUEST_TICK_INTERVAL: Duration = Duration::from_millis(10);
const CONTROL_TICK_INTERVAL: Duration = Duration::from_millis(100);
/// The shortest interval when the request path asks for an earlier tick, and so the most by which
/// such a tick is late.
const MIN_TICK_INTERVAL: Duration = Duration::from_millis(1);

/// Starts the loops. Dropping the returned tasks ends them.
pub(super) fn start(shell: &Arc<Shell>, spawner: &Spawner) -> Vec<smol::Task<()>> {
    vec![
        spawner.spawn(tick_request(Arc::clone(shell))),
        spawner.spawn(tick_control(Arc::clone(shell))),
        spawner.spawn(read_vms(Arc::clone(shell))),
    ]
}

async fn tick_request(shell: Arc<Shell>) {
    loop {
        let next = {
            let machine = shell.request.lock().expect("no holder of this lock panics");
            machine.next_timer()
        };
        let interval = next.map_or(REQUEST_TICK_INTERVAL, |next| {
            shell
                .clock
                .until(next)
                .clamp(MIN_TICK_INTERVAL, REQUEST_TICK_INTERVAL)
        });
        Timer::after(interval).await;
        shell.expire();
        shell.handle_request_event(request::Event::Tick);
    }
}

async fn tick_control(shell: Arc<Shell>) {
    let mut due = Instant::now();
    let mut damaged = BTreeSet::new();
    loop {
        for event in drain_measurements(&shell) {
            shell.handle_control_event(event);
        }
        let load = {
            let machine = shell.request.lock().expect("no holder of this lock panics");
            machine.summary(shell.clock.now())
        };
        shell.metrics.load(&load);
        shell.handle_control_event(control::Event::Load(load));
        shell.handle_control_event(control::Event::Tick);
        log_damaged_rows(&shell, &mut damaged);
        shell
            .last_tick_ms
            .store(shell.clock.now().0, Ordering::SeqCst);
        // Ticks that were missed in a pause of the process are skipped.
        due = (due + CONTROL_TICK_INTERVAL).max(Instant::now());
        Timer::at(due).await;
    }
}

/// Logs each row of the table that cannot be decoded, once until it is repaired or removed.
fn log_damaged_rows(shell: &Shell, known: &mut BTreeSet<String>) {
    let machine = shell.control.lock().expect("no holder of this lock panics");
    let damaged = machine.damaged();
    known.retain(|key| damaged.contains_key(key));
    for (key, error) in damaged {
        if known.insert(key.clone()) {
            log::error!("entry={} row={key} cause={error}", shell.identity.entry);
        }
    }
}

fn drain_measurements(shell: &Shell) -> Vec<control::Event> {
    let mut measurements = shell
        .measurements
        .lock()
        .expect("no holder of this lock panics");
    mem::take(&mut *measurements)
}

async fn read_vms(shell: Arc<Shell>) {
    loop {
        if let Some(vms) = shell.clients.vms.list().await {
            shell.directory.update_workers(shell.clock.now(), &vms);
            shell.handle_control_event(control::Event::Vms(vms));
        }
        shell.clients.targets.sweep();
        shell.clients.workers.sweep();
        shell.clients.peers.sweep();
        Timer::after(shell.settings.times.vms).await;
    }
}
