//! Lets time pass for the state machines and reads the list of VMs.

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

const REQUEST_TICK: Duration = Duration::from_millis(10);
const CONTROL_TICK: Duration = Duration::from_millis(100);
/// Timers fire this late at most when the request path asks for an earlier tick.
const SHORTEST_TICK: Duration = Duration::from_millis(1);

/// Starts the loops; they end when dropped.
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
        let pause = next.map_or(REQUEST_TICK, |next| {
            shell.clock.until(next).clamp(SHORTEST_TICK, REQUEST_TICK)
        });
        Timer::after(pause).await;
        shell.expire();
        shell.request(request::Event::Tick);
    }
}

async fn tick_control(shell: Arc<Shell>) {
    let mut due = Instant::now();
    let mut damaged = BTreeSet::new();
    loop {
        for event in measured(&shell) {
            shell.control(event);
        }
        let load = {
            let machine = shell.request.lock().expect("no holder of this lock panics");
            machine.summary(shell.clock.now())
        };
        shell.metrics.load(&load);
        shell.control(control::Event::Load(load));
        shell.control(control::Event::Tick);
        log_damage(&shell, &mut damaged);
        shell.ticked.store(shell.clock.now().0, Ordering::SeqCst);
        // Ticks missed in a pause are not made up for.
        due = (due + CONTROL_TICK).max(Instant::now());
        Timer::at(due).await;
    }
}

/// Logs each row of the table that cannot be decoded, once.
fn log_damage(shell: &Shell, known: &mut BTreeSet<String>) {
    let machine = shell.control.lock().expect("no holder of this lock panics");
    let damaged = machine.damaged();
    known.retain(|key| damaged.contains_key(key));
    for (key, error) in damaged {
        if known.insert(key.clone()) {
            log::error!("entry={} row={key} cause={error}", shell.identity.entry);
        }
    }
}

fn measured(shell: &Shell) -> Vec<control::Event> {
    let mut measured = shell
        .measured
        .lock()
        .expect("no holder of this lock panics");
    mem::take(&mut *measured)
}

async fn read_vms(shell: Arc<Shell>) {
    loop {
        if let Some(vms) = shell.clients.vms.list().await {
            shell.directory.list(shell.clock.now(), &vms);
            shell.control(control::Event::Vms(vms));
        }
        shell.clients.targets.sweep();
        shell.clients.workers.sweep();
        shell.clients.peers.sweep();
        Timer::after(shell.settings.times.vms).await;
    }
}
