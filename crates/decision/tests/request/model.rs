//! A model of targets, peers and callers that drives a request path and checks its invariants.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use bytes::Bytes;
use decision::clock::Ms;
use decision::naive;
use decision::request::Action;
use decision::request::Answer;
use decision::request::Attempt;
use decision::request::Call;
use decision::request::Ending;
use decision::request::Event;
use decision::request::Machine;
use decision::request::Outcome;
use decision::request::Refusal;
use decision::request::Target;
use decision::step::Step;
use decision::ticket::Ticket;
use decision::worker::Epoch;

use crate::fixture;

/// A request path under test.
pub trait Subject: Step<Event = Event, Action = Action> {
    fn mint(&mut self, now: Ms, count: usize) -> Vec<Ticket>;
    fn idle(&self) -> bool;
}

impl Subject for Machine {
    fn mint(&mut self, now: Ms, count: usize) -> Vec<Ticket> {
        self.mint(now, count)
    }
    fn idle(&self) -> bool {
        self.idle()
    }
}

impl Subject for naive::request::Machine {
    fn mint(&mut self, now: Ms, count: usize) -> Vec<Ticket> {
        self.mint(now, count)
    }
    fn idle(&self) -> bool {
        self.idle()
    }
}

/// How the receiver of an attempt responds. Times are in ms after sending.
#[derive(Clone, Debug)]
pub enum Response {
    /// The attempt runs and is answered after this time with this HTTP status.
    Answer(u64, u16),
    /// The attempt does not run, which is known after this time.
    NotRun(u64),
    /// The attempt runs, and the connection breaks after this time.
    Broken(u64),
    /// The attempt runs, and no result ever arrives.
    Silent,
    /// The attempt runs past its timeout, at which its end is reported as unknown.
    Late,
}

/// Which ticket a request carries.
#[derive(Clone, Copy, Debug)]
pub enum Key {
    /// None, because the request may be repeated.
    Repeatable,
    /// A ticket that this entry issues now.
    Fresh,
    /// The ticket of an earlier request, or a fresh one if there was none.
    Used(usize),
    /// The ticket of a peer, with this sequence number.
    Foreign(u64),
    /// None, although the request must not be repeated.
    Missing,
    /// None, because a peer forwards the request for capacity.
    Forwarded,
}

/// One step of a scenario.
#[derive(Clone, Debug)]
pub enum Op {
    Call {
        key: Key,
        /// Whether the kind is `preview` instead of `report`.
        preview: bool,
        /// Whether the team is `stock` instead of `shop`.
        stock: bool,
        /// The time until the deadline in ms.
        time: u64,
    },
    Withdraw(usize),
    /// The state of each target: absent, or whether it is leaving, its slots, the busy slots among
    /// them, and the row of its epoch.
    Targets(Vec<Option<(bool, u32, u32, u64)>>),
    Peers(Vec<u32>),
    /// Delivers an ending again that was delivered before.
    Repeat(usize),
    Wait(u64),
    Stop,
}

#[derive(Debug)]
struct Sent {
    call: Call,
    vm: Option<String>,
    ends: Ms,
    ended: bool,
    not_run: bool,
    refused: bool,
}

/// The model with the requests, attempts and outcomes that it has observed.
#[derive(Debug)]
pub struct Simulation<S> {
    pub subject: S,
    now: Ms,
    responses: Vec<Response>,
    next_call: u64,
    calls: BTreeMap<u64, Call>,
    pub outcomes: BTreeMap<u64, Outcome>,
    sent: BTreeMap<Attempt, Sent>,
    pending: BTreeSet<(Ms, Attempt, u16)>,
    delivered: Vec<(Attempt, Ending)>,
    targets: BTreeMap<String, Target>,
    used: Vec<Ticket>,
    /// Whether the slots of targets are checked. The baseline assumes 8 slots at each target.
    pub check_slots: bool,
}

/// The time at the start of a simulation, as on a VM whose clock has run for ten hours.
const START: Ms = Ms(36_000_000);
/// Stands for a broken connection in place of an HTTP status.
const BROKEN: u16 = 0;
/// Stands for an attempt that did not run in place of an HTTP status.
const NOT_RUN: u16 = 1;

impl<S: Subject> Simulation<S> {
    pub fn new(subject: S, responses: Vec<Response>) -> Self {
        let mut simulation = Self {
            subject,
            now: START,
            responses,
            next_call: 0,
            calls: BTreeMap::new(),
            outcomes: BTreeMap::new(),
            sent: BTreeMap::new(),
            pending: BTreeSet::new(),
            delivered: Vec::new(),
            targets: BTreeMap::new(),
            used: Vec::new(),
            check_slots: true,
        };
        simulation.step(fixture::config(6));
        simulation
    }

    pub fn run(&mut self, ops: &[Op]) {
        for op in ops {
            self.apply(op);
        }
        self.wait(5_000);
        let open: Vec<&u64> = self
            .calls
            .keys()
            .filter(|id| !self.outcomes.contains_key(id))
            .collect();
        assert!(
            open.is_empty(),
            "calls without a reply at the end: {open:?}"
        );
        assert!(
            self.subject.idle(),
            "requests or attempts are in progress after every call was answered"
        );
    }

    fn apply(&mut self, op: &Op) {
        match op {
            Op::Call {
                key,
                preview,
                stock,
                time,
            } => self.call(*key, *preview, *stock, *time),
            Op::Withdraw(index) => {
                let open = self
                    .calls
                    .keys()
                    .filter(|id| !self.outcomes.contains_key(id));
                let open: Vec<u64> = open.copied().collect();
                if let Some(id) = index.checked_rem(open.len()).map(|index| open[index]) {
                    self.step(Event::Withdrawn(id));
                }
            }
            Op::Targets(states) => self.set_targets(states),
            Op::Peers(free) => {
                let peers = free.iter().enumerate();
                let peers = peers.map(|(index, free)| fixture::peer(&format!("p{index}"), *free));
                self.step(Event::Peers(peers.collect()));
            }
            Op::Repeat(index) => {
                if let Some(index) = index.checked_rem(self.delivered.len()) {
                    let (attempt, ending) = self.delivered[index].clone();
                    self.step(Event::Finished(attempt, ending));
                }
            }
            Op::Wait(time) => self.wait(*time),
            Op::Stop => self.step(Event::Stopping),
        }
    }

    fn call(&mut self, key: Key, preview: bool, stock: bool, time: u64) {
        self.next_call += 1;
        let mut call = Call {
            kind: fixture::name(if preview { "preview" } else { "report" }),
            team: fixture::name(if stock { "stock" } else { "shop" }),
            deadline: self.now + Ms(time),
            ..fixture::call(self.next_call)
        };
        call.repeatable = matches!(key, Key::Repeatable);
        call.forwarded = matches!(key, Key::Forwarded);
        call.ticket = match key {
            Key::Used(index) if !self.used.is_empty() => {
                Some(self.used[index % self.used.len()].clone())
            }
            Key::Fresh | Key::Used(_) => self.subject.mint(self.now, 1).pop(),
            Key::Foreign(sequence) => Some(Ticket {
                issuer: fixture::name("p0"),
                incarnation: 7,
                sequence,
                nonce: 0,
            }),
            Key::Repeatable | Key::Missing | Key::Forwarded => None,
        };
        self.used.extend(
            call.ticket
                .iter()
                .filter(|ticket| &*ticket.issuer == "e1")
                .cloned(),
        );
        call.body = Bytes::from(request_key(&call));
        self.calls.insert(call.id, call.clone());
        self.step(Event::Arrived(call));
    }

    fn set_targets(&mut self, states: &[Option<(bool, u32, u32, u64)>]) {
        self.targets.clear();
        for (index, state) in states.iter().enumerate() {
            let Some((leaving, slots, busy, row)) = *state else {
                continue;
            };
            let vm = format!("v{index}");
            let target = Target {
                epoch: Epoch { row, step: 0 },
                slots,
                busy,
                leaving,
                ..fixture::target(&vm)
            };
            self.targets.insert(vm, target);
        }
        self.step(Event::Targets(self.targets.values().cloned().collect()));
    }

    fn wait(&mut self, time: u64) {
        let end = self.now + Ms(time);
        while self.now < end {
            let tick = Ms((self.now.0 / 10 + 1) * 10).min(end);
            let next = self
                .pending
                .first()
                .map_or(tick, |(at, ..)| (*at).min(tick));
            self.now = next.max(self.now);
            while let Some((at, attempt, kind)) = self.pending.first().copied() {
                if at > self.now {
                    break;
                }
                self.pending.pop_first();
                self.deliver(attempt, kind);
            }
            if self.now == tick {
                self.step(Event::Tick);
            }
        }
    }

    fn deliver(&mut self, attempt: Attempt, kind: u16) {
        let sent = self
            .sent
            .get_mut(&attempt)
            .expect("only attempts that were sent are delivered");
        sent.ended = true;
        sent.not_run = kind == NOT_RUN;
        sent.refused = sent.not_run && sent.vm.is_none();
        let ending = match kind {
            BROKEN => Ending::Unknown,
            NOT_RUN if sent.refused => Ending::Refused(Refusal::Full),
            NOT_RUN => Ending::NotRun,
            status => Ending::Answered(Answer {
                status,
                body: sent.call.body.clone(),
            }),
        };
        self.delivered.push((attempt, ending.clone()));
        self.step(Event::Finished(attempt, ending));
    }

    fn step(&mut self, event: Event) {
        let actions = self.subject.step(self.now, event);
        for action in actions {
            match action {
                Action::Send {
                    attempt,
                    vm,
                    epoch,
                    call,
                    timeout,
                } => {
                    self.check_target(&vm, epoch);
                    self.send(attempt, &call, Some(vm.to_string()), timeout);
                }
                Action::Forward {
                    attempt,
                    call,
                    timeout,
                    ..
                } => {
                    self.send(attempt, &call, None, timeout);
                }
                Action::Reply { call, outcome } => self.reply(call, outcome),
                Action::Abandon(attempt) => {
                    let sent = &self.sent[&attempt];
                    assert!(
                        sent.call.repeatable,
                        "only attempts of repeatable requests are abandoned"
                    );
                }
                Action::Measured { .. } | Action::Note(_) => {}
            }
        }
    }

    /// Guards against requests to targets that are leaving, not owned, or full.
    fn check_target(&self, vm: &str, epoch: Epoch) {
        let target = self
            .targets
            .get(vm)
            .expect("requests are sent only to owned targets");
        assert!(
            !target.leaving,
            "a request is sent to {vm}, which is leaving"
        );
        assert_eq!(target.epoch, epoch);
        let own = self
            .sent
            .values()
            .filter(|sent| sent.vm.as_deref() == Some(vm) && !sent.ended && self.now < sent.ends);
        let busy = own.count() + target.busy as usize;
        assert!(
            !self.check_slots || busy < target.slots as usize,
            "a request is sent to {vm} although {busy} of its {} slots are in use",
            target.slots
        );
    }

    fn send(&mut self, attempt: Attempt, call: &Call, vm: Option<String>, timeout: Ms) {
        self.check_repeat(call);
        assert!(
            !call.repeatable || !self.outcomes.contains_key(&call.id),
            "repeatable call {} is sent after its reply",
            call.id
        );
        let response = self.responses.pop().unwrap_or(Response::Answer(10, 200));
        let (ends, kind) = match response {
            Response::Answer(time, status) => (self.now + Ms(time), Some(status)),
            Response::NotRun(time) => (self.now + Ms(time), Some(NOT_RUN)),
            Response::Broken(time) => (self.now + Ms(time), Some(BROKEN)),
            Response::Silent => (timeout, None),
            Response::Late => (timeout, Some(BROKEN)),
        };
        if let Some(kind) = kind {
            self.pending.insert((
                ends.min(timeout),
                attempt,
                if ends <= timeout { kind } else { BROKEN },
            ));
        }
        let sent = Sent {
            call: call.clone(),
            vm,
            ends: timeout,
            ended: false,
            not_run: false,
            refused: false,
        };
        assert!(
            self.sent.insert(attempt, sent).is_none(),
            "each attempt has its own number"
        );
    }

    /// Guards against a request that is sent again although it must not be repeated and may have
    /// run, or although its caller was told that it never will.
    fn check_repeat(&self, call: &Call) {
        if call.repeatable {
            return;
        }
        let may_have_run = self.attempts_of(call).find(|(_, sent)| !sent.not_run);
        assert!(
            may_have_run.is_none(),
            "{call:?} is sent after an attempt that may have run: {may_have_run:?}"
        );
        let refused = self.calls.values().filter(|other| other.body == call.body);
        let refused = refused.filter_map(|other| self.outcomes.get(&other.id));
        let mut refused = refused.filter(|outcome| match outcome {
            Outcome::Refused(refusal) => refusal.is_final(),
            _ => false,
        });
        assert_eq!(
            refused.next(),
            None,
            "{call:?} is sent after a final refusal"
        );
    }

    /// Returns the attempts of the same request: those with the same ticket of this entry, or those
    /// of the same call.
    fn attempts_of<'a>(&'a self, call: &'a Call) -> impl Iterator<Item = (&'a Attempt, &'a Sent)> {
        let subject = request_key(call);
        let subject = if call.body.is_empty() {
            subject
        } else {
            String::from_utf8_lossy(&call.body).into()
        };
        self.sent
            .iter()
            .filter(move |(_, sent)| sent.call.body == subject.as_bytes())
    }

    fn reply(&mut self, id: u64, outcome: Outcome) {
        let call = self.calls[&id].clone();
        match &outcome {
            Outcome::Answered(answer) => assert_eq!(
                answer.body, call.body,
                "call {id} gets the answer of another request"
            ),
            Outcome::Refused(refusal) => {
                let ran = self.attempts_of(&call).find(|(_, sent)| !sent.not_run);
                assert!(
                    ran.is_none(),
                    "{call:?} is refused with {refusal:?} although it may have run: {ran:?}"
                );
                let foreign = call
                    .ticket
                    .as_ref()
                    .is_some_and(|ticket| &*ticket.issuer != "e1");
                let refused = self.attempts_of(&call).any(|(_, sent)| sent.refused);
                assert!(
                    !foreign || refused,
                    "call {id} is refused although the issuer of its ticket did not refuse it"
                );
            }
            Outcome::Unknown => {}
        }
        let twice = self.outcomes.insert(id, outcome);
        assert!(twice.is_none(), "call {id} gets a second reply: {twice:?}");
    }
}

/// Returns what identifies the request of a call: its ticket if this entry issued it, or the call.
fn request_key(call: &Call) -> String {
    match &call.ticket {
        Some(ticket) if &*ticket.issuer == "e1" => format!("ticket {}", ticket.sequence),
        _ => format!("call {}", call.id),
    }
}
