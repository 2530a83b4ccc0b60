//! The workers of a play, each with a clock of its own, and the judge that observes them.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use decision::clock::Ms;
use decision::resource::Size;
use http::StatusCode;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use scheduler::id::Epoch;
use scheduler::id::Run;
use scheduler::id::Step;
use scheduler::id::Task;
use scheduler::message::Outcome;
use scheduler::message::Termination;
use serde_json::Value;
use serde_json::json;
use smol::Timer;

use super::judge::Judge;
use super::judge::Observed;
use crate::server::Call;
use crate::worker::Execution;
use crate::worker::Worker;

/// The time that clocks of workers may show when the play starts, in ms.
const MAX_CLOCK_MS: u64 = 60_000;
/// How fast clocks of workers run.
const RATES: [f64; 4] = [1.0, 1.0, 0.98, 0.99];
/// The interval of checkpoints, in ms of work.
const CHECKPOINT_MS: u64 = 1_000;
/// How long a member of a gang waits for the others, in ms.
const GANG_WAIT_MS: u64 = 5_000;
/// The end of a run that lasts until it is stopped, or of one that waits for its gang.
const NEVER: u64 = u64::MAX / 2;
const SIZE: Size = Size {
    millicores: 4_000,
    memory_mb: 8_000,
    accelerators: 0,
};

/// What a run has to do, on the clock of its worker.
#[derive(Clone, Debug)]
struct Work {
    run: Run,
    /// When it began to work, or to wait for its gang.
    since: u64,
    /// The work that its checkpoint had saved, in ms.
    restored: u64,
    /// The newest checkpoint that is not of this run.
    checkpoint: String,
    is_waiting: bool,
    has_checkpoints: bool,
}

impl Work {
    /// Returns the newest checkpoint at a time on the clock of the worker; empty if there is none.
    fn saved(&self, now: u64, at_once: bool) -> String {
        let work = now.saturating_sub(self.since);
        let unit = if at_once { 1 } else { CHECKPOINT_MS };
        let new = work / unit * unit;
        if !self.has_checkpoints || self.is_waiting || new == 0 {
            return self.checkpoint.clone();
        }
        format!("{:08x}{:08x}", self.restored + new, self.run.0 as u32)
    }
}

/// One worker, in its present life.
pub struct Host {
    pub id: String,
    pub is_up: bool,
    pub is_draining: bool,
    /// Which of its two addresses it has.
    pub slot: usize,
    /// The number of lives before this one.
    life: u32,
    worker: Worker,
    rate: f64,
    work: BTreeMap<Task, Work>,
    /// The checkpoints of the ends, by number.
    saves: BTreeMap<u64, String>,
}

impl Host {
    fn new(id: String, now: u64, random: &mut StdRng) -> Self {
        let rate = RATES[random.random_range(0..RATES.len())];
        let local = to_local(now, rate);
        let mut worker = Worker::new(SIZE, local);
        worker.clock_offset = local - random.random_range(0..MAX_CLOCK_MS);
        let born = SystemTime::now().duration_since(UNIX_EPOCH);
        let born = born.expect("the time of day is after 1970").as_millis();
        worker.incarnation = Ms(u64::try_from(born).expect("the time of day fits"));
        Self {
            id,
            is_up: true,
            is_draining: false,
            slot: 0,
            life: 0,
            worker,
            rate,
            work: BTreeMap::new(),
            saves: BTreeMap::new(),
        }
    }

    fn local(&self, now: u64) -> u64 {
        to_local(now, self.rate)
    }

    /// Ends the runs that are over by now, those behind the end of the lease as lapsed.
    fn settle(&mut self, now: u64, judge: &mut Judge) {
        let local = self.local(now);
        let lapse = self.worker.lease_end + self.worker.clock_offset + 1;
        for time in [lapse.min(local), local] {
            if self.worker.executions.is_empty() && time < local {
                continue;
            }
            let first = self.worker.next_end;
            for (task, how) in self.worker.advance(time) {
                let work = self.work.remove(&task).expect("each run has work");
                judge.ended(now, task, work.run, &self.id, Some(how));
                let ends = self.worker.ends.iter();
                let end = ends.rev().find(|end| end.task == task);
                let number = end.expect("the end is listed").number;
                assert!(number >= first, "the end is new");
                let saved = work.saved(time, how == Termination::Stopped);
                self.saves.insert(number, saved);
            }
        }
    }

    fn acknowledge(&mut self, now: u64, upto: u64, judge: &mut Judge) {
        for end in self.worker.acknowledge(upto) {
            self.saves.remove(&end.number);
            let ended = self.worker.end_times[&end.number];
            let has_lapsed = self.worker.lapsed_at >= ended;
            if end.termination == Termination::Done && !has_lapsed {
                judge.noted(now, end.task, end.run, &self.id);
            }
        }
    }

    fn status_json(&self, now: u64) -> Value {
        let local = self.local(now);
        let running = self.worker.executions.iter().map(|(task, execution)| {
            let saved = self.work[task].saved(local, false);
            let percent = if execution.ends_at >= NEVER { 100 } else { 50 };
            json!([task.to_string(), execution.run.0, saved, percent, 0])
        });
        let ended = self.worker.ends.iter().take(500).map(|end| {
            let how = format!("{:?}", end.termination).to_lowercase();
            let saved = &self.saves[&end.number];
            json!([end.number, end.task.to_string(), end.run.0, how, saved])
        });
        json!({"clockMs": self.worker.clock(local), "born": self.worker.incarnation.0,
            "running": running.collect::<Vec<_>>(), "ended": ended.collect::<Vec<_>>()})
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "a play is short"
)]
fn to_local(now: u64, rate: f64) -> u64 {
    ((now + MAX_CLOCK_MS) as f64 * rate) as u64 + MAX_CLOCK_MS
}

/// All workers and what was observed of them.
pub struct Hosts {
    pub judge: Judge,
    pub list: Vec<Host>,
    random: StdRng,
}

impl Hosts {
    /// Brings all workers to the present, and with them the gangs.
    fn settle(&mut self, now: u64) {
        for host in &mut self.list {
            host.settle(now, &mut self.judge);
        }
        let mut members: BTreeMap<(Step, Run), Vec<(usize, Task)>> = BTreeMap::new();
        for (index, host) in self.list.iter().enumerate() {
            for (task, execution) in &host.worker.executions {
                if self.judge.step(*task).is_some_and(|step| step.is_gang) {
                    let gang = members.entry((task.step, execution.run)).or_default();
                    gang.push((index, *task));
                }
            }
        }
        for list in members.into_values() {
            self.settle_gang(now, &list);
        }
    }

    fn settle_gang(&mut self, now: u64, list: &[(usize, Task)]) {
        let Some(step) = self.judge.step(list[0].1).cloned() else {
            return;
        };
        let is_whole = list.len() == step.count as usize;
        for (index, task) in list {
            let host = &mut self.list[*index];
            let local = host.local(now);
            let work = host.work.get_mut(task).expect("each run has work");
            let execution = host.worker.executions.get_mut(task).expect("it runs");
            if work.is_waiting && is_whole {
                work.is_waiting = false;
                work.since = local;
                let rest = step.duration.saturating_sub(work.restored);
                execution.ends_at = to_local(now + rest, host.rate);
            } else if work.is_waiting && local > work.since + GANG_WAIT_MS {
                execution.ends_at = local;
                execution.termination = Termination::Alone;
            } else if !work.is_waiting && !is_whole && execution.ends_at > local {
                execution.ends_at = local;
                if !self.judge.is_done(*task) {
                    execution.termination = Termination::Broken;
                }
            }
        }
    }

    fn order(&mut self, index: usize, now: u64, call: &Call) -> (StatusCode, Value) {
        let body = &call.body;
        let task: Task = body["task"]
            .as_str()
            .unwrap_or_default()
            .parse()
            .expect("a task id");
        let run = Run(body["runId"].as_u64().unwrap_or(0));
        let epoch = Epoch(body["fencingToken"].as_u64().unwrap_or(0));
        let step = self.judge.step(task).cloned();
        let host = &mut self.list[index];
        let local = host.local(now);
        let clock = host.worker.clock(local);
        let refusal = |reason| {
            let body = json!({"clockMs": clock, "reason": reason});
            (StatusCode::CONFLICT, body)
        };
        if !host.worker.accept_token(epoch) {
            return refusal("fence");
        }
        if call.path != "/run-start" {
            if call.path == "/run-stop" {
                host.worker.stop(local, task, run);
            }
            return (StatusCode::OK, json!({"clockMs": clock}));
        }
        let checkpoint = body["checkpoint"].as_str().unwrap_or_default().to_owned();
        let saved = checkpoint.get(..8);
        let restored = saved.map_or(0, |hex| u64::from_str_radix(hex, 16).unwrap_or(0));
        let (duration, size, is_gang) = step.as_ref().map_or((200, Size::ZERO, false), |step| {
            let size = Size {
                millicores: step.millicores,
                memory_mb: step.memory_mb,
                accelerators: 0,
            };
            let duration = if step.is_lasting {
                NEVER
            } else {
                step.duration
            };
            (duration, size, step.is_gang)
        });
        let ends_at = if is_gang || duration == NEVER {
            NEVER
        } else {
            local + duration.saturating_sub(restored)
        };
        let execution = Execution {
            run,
            ends_at,
            termination: Termination::Done,
            size,
        };
        let is_known = host.worker.executions.contains_key(&task);
        let deadline = body["deadlineMs"].as_u64().unwrap_or(0);
        match host.worker.start(local, task, execution, deadline) {
            Outcome::Done if is_known => {}
            Outcome::Done => {
                let work = Work {
                    run,
                    since: local,
                    restored,
                    checkpoint: checkpoint.clone(),
                    is_waiting: is_gang,
                    has_checkpoints: step.is_some_and(|step| step.has_checkpoints),
                };
                host.work.insert(task, work);
                let observed = Observed {
                    run,
                    epoch,
                    worker: host.id.clone(),
                    started: now,
                    checkpoint,
                    end: None,
                    noted: None,
                };
                let is_over = !host.worker.booked().fits(host.worker.size);
                self.judge.started(task, observed, is_over);
            }
            Outcome::Late => return refusal("late"),
            _ => return refusal("old"),
        }
        (StatusCode::OK, json!({"clockMs": clock}))
    }

    /// Ends the life of a worker with all that runs there.
    pub fn crash(&mut self, index: usize, now: u64) {
        self.settle(now);
        let host = &mut self.list[index];
        host.is_up = false;
        for (task, work) in &host.work {
            self.judge.ended(now, *task, work.run, &host.id, None);
        }
        host.work.clear();
        host.worker.executions.clear();
    }

    /// Starts a worker anew that has crashed, at one of its addresses.
    pub fn restart(&mut self, index: usize, now: u64, id: String, slot: usize) {
        let life = self.list[index].life + 1;
        self.list[index] = Host::new(id, now, &mut self.random);
        self.list[index].life = life;
        self.list[index].slot = slot;
    }
}

/// The workers of a play, shared by their servers.
#[derive(Clone)]
pub struct Site {
    hosts: Arc<Mutex<Hosts>>,
    started_at: Instant,
}

impl Site {
    pub fn new(seed: u64, workers: usize, judge: Judge) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let list = (0..workers).map(|index| Host::new(format!("i-{index}"), 0, &mut random));
        let list = list.collect();
        let hosts = Hosts {
            judge,
            list,
            random,
        };
        Self {
            hosts: Arc::new(Mutex::new(hosts)),
            started_at: Instant::now(),
        }
    }

    /// Returns the time since the start of the play, in ms.
    pub fn now(&self) -> u64 {
        u64::try_from(self.started_at.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Returns the workers at the present, which stand still until they are dropped, and the time.
    pub fn settled(&self) -> (MutexGuard<'_, Hosts>, u64) {
        let mut hosts = self.hosts.lock().expect("no holder of this lock panics");
        let now = self.now();
        hosts.settle(now);
        (hosts, now)
    }

    /// Returns the row in which a worker registers itself.
    pub fn registration(&self, index: usize, address: &str) -> (String, String) {
        let (hosts, _) = self.settled();
        let host = &hosts.list[index];
        let state = if host.is_draining {
            "draining"
        } else {
            "ready"
        };
        let row = json!({"service": "s", "address": address, "zone": format!("z{}", index % 3),
            "version": "v1", "slots": 8, "state": state, "coldLeftMs": 0, "seqNo": 1,
            "capacity": {"cpu": SIZE.millicores, "memMb": SIZE.memory_mb, "gpu": 0},
            "labels": [format!("k{}", index % 2), format!("r{}", index % 6)],
            "born": host.worker.incarnation.0});
        (host.id.clone(), row.to_string())
    }

    /// Answers a call to a worker at one of its addresses once it is carried out; a poll may wait. A
    /// worker that is down or has the other address, or whose life ends meanwhile, does not answer.
    pub async fn respond(&self, index: usize, slot: usize, call: Call) -> (StatusCode, Value) {
        let mut life = None;
        let end = self.now() + call.body["waitMs"].as_u64().unwrap_or(0);
        loop {
            if let Some(response) = self.try_respond(index, slot, &call, end, &mut life) {
                return response;
            }
            let (is_here, now_life) = {
                let hosts = self.hosts.lock().expect("no holder of this lock panics");
                let host = &hosts.list[index];
                (host.is_up && host.slot == slot, host.life)
            };
            if !is_here || life != Some(now_life) {
                return smol::future::pending().await;
            }
            Timer::after(Duration::from_millis(15)).await;
        }
    }

    fn try_respond(
        &self,
        index: usize,
        slot: usize,
        call: &Call,
        end: u64,
        life: &mut Option<u32>,
    ) -> Option<(StatusCode, Value)> {
        let mut hosts = self.hosts.lock().expect("no holder of this lock panics");
        let now = self.now();
        let Hosts { judge, list, .. } = &mut *hosts;
        let host = &mut list[index];
        let is_new = life.is_none();
        let is_here = host.is_up && host.slot == slot;
        if !is_here || *life.get_or_insert(host.life) != host.life {
            return None;
        }
        if !call.expected_worker.is_empty() && call.expected_worker != host.id {
            return Some((StatusCode::MISDIRECTED_REQUEST, json!({})));
        }
        if call.path != "/hold" {
            hosts.settle(now);
            return Some(hosts.order(index, now, call));
        }
        host.settle(now, judge);
        let epoch = Epoch(call.body["fencingToken"].as_u64().unwrap_or(0));
        let local = host.local(now);
        if !host.worker.accept_token(epoch) {
            let clock = host.worker.clock(local);
            let body = json!({"clockMs": clock, "reason": "fence"});
            return Some((StatusCode::CONFLICT, body));
        }
        if let Some(deadline) = call.body["deadlineMs"].as_u64().filter(|_| is_new) {
            host.worker.extend_lease(local, deadline);
        }
        host.acknowledge(now, call.body["ackedUpto"].as_u64().unwrap_or(0), judge);
        (!host.worker.ends.is_empty() || now >= end)
            .then(|| (StatusCode::OK, host.status_json(now)))
    }
}
