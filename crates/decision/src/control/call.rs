//! Operators' calls: the rows that a call needs are read, the call is stored together with its
//! effect, and it is answered once.

use super::Action;
use super::Machine;
use super::store::Purpose;
use super::store::Reading;
use super::submit::Effect;
use crate::clock::Ms;
use crate::commit::Resolution;
use crate::commit::Transaction;
use crate::config::Version;
use crate::name::Name;
use crate::operator;
use crate::operator::Refusal;
use crate::operator::Reply;
use crate::peer::Message;
use crate::place;
use crate::rollout;
use crate::step::Step;
use crate::table;
use crate::table::Operation;
use crate::table::Row;

/// A call that is unresolved after this time is answered as unavailable or unknown.
const CALL_TIMEOUT: Ms = Ms(8_000);
/// After this many reads of its rows, a call whose commits conflict is refused.
const MAX_ATTEMPTS: u32 = 8;
/// A call is refused once the table has been down for this long.
const MAX_OUTAGE_WAIT: Ms = Ms(1_000);

/// Whether an operator or a peer receives the answer, with the number of its call.
#[derive(Clone, Copy, Debug)]
pub(super) enum Route {
    /// The operator connected to this entry.
    Operator(u64),
    /// The peer that relayed the call.
    Peer(u64),
}

#[derive(Clone, Debug)]
enum Stage {
    /// The rows of the call are to be read.
    Waiting,
    /// The rows of the call are being read.
    Reading,
    /// The effect is being stored.
    Writing(Effect),
    /// Entries are to confirm this configuration version by this time.
    Distributing(Version, Ms),
    /// The rows of the pieces of a job are being read for its status.
    Collecting,
}

/// A call that is not finished.
#[derive(Clone, Debug)]
pub(super) struct Call {
    route: Route,
    pub(super) call: operator::Call,
    since: Ms,
    stage: Stage,
    attempts: u32,
    answered: bool,
}

impl<B> Machine<B>
where
    B: Step<Event = place::Event, Action = place::Order> + place::Read,
{
    /// Answers a call at once if no row is needed for it, and otherwise begins to read its rows.
    pub(super) fn start_call(&mut self, route: Route, call: operator::Call) {
        let immediate = match &call.action {
            operator::Action::Status { job: None } => Some(self.status()),
            operator::Action::Status { job: Some(job) } if !self.is_table_up() => {
                Some(self.job_status_from_board(job))
            }
            operator::Action::Reconfigure {
                expected,
                document,
                dry_run: true,
            } => Some(self.compare_config(*expected, document)),
            _ => None,
        };
        if let Some(reply) = immediate {
            self.reply(route, reply);
            return;
        }
        self.call_count += 1;
        let call = Call {
            route,
            call,
            since: self.now,
            stage: Stage::Waiting,
            attempts: 0,
            answered: false,
        };
        let number = self.call_count;
        self.calls.insert(number, call);
        self.read_call(number);
    }

    fn reply(&mut self, route: Route, reply: Reply) {
        self.actions.push(match route {
            Route::Operator(number) => Action::OperatorReply(number, reply),
            Route::Peer(number) => Action::Respond(number, Message::Operated(reply)),
        });
    }

    /// Removes a call and sends the reply, unless an earlier one was sent already.
    fn finish_call(&mut self, number: u64, reply: Reply) {
        if let Some(call) = self.calls.remove(&number)
            && !call.answered
        {
            self.reply(call.route, reply);
        }
    }

    /// Reads the rows of a call, unless this entry has an unresolved transaction on one of them.
    fn read_call(&mut self, number: u64) {
        let Some(call) = self.calls.get_mut(&number) else {
            return;
        };
        let keys = Self::call_keys(&call.call);
        if !self.rollout.is_ready() || keys.iter().any(|key| self.writer.is_locked(key)) {
            return;
        }
        if let Some(since) = self.backoff.down_since() {
            call.stage = Stage::Waiting;
            if self.now.since(since) >= MAX_OUTAGE_WAIT {
                self.finish_call(number, Reply::Refused(Refusal::Unavailable));
            }
            return;
        }
        call.stage = Stage::Reading;
        call.attempts += 1;
        self.start_read(Reading::Call(number), Operation::Read(keys));
    }

    /// The keys of the rows that decide about a call.
    fn call_keys(call: &operator::Call) -> Vec<String> {
        let subject = match &call.action {
            operator::Action::Submit(job) => crate::job::index_key(&job.name),
            operator::Action::Cancel { job } => crate::job::index_key(job),
            operator::Action::Drain { vm, .. } => table::key("drain", vm),
            operator::Action::Reconfigure { .. } => rollout::KEY.into(),
            operator::Action::Status { job } => {
                return Vec::from_iter(job.iter().map(|job| crate::job::index_key(job)));
            }
        };
        vec![table::key("call", &call.id), subject]
    }

    /// Continues a call whose rows were read. `None` means that the read failed.
    pub(super) fn handle_call_rows(&mut self, number: u64, rows: Option<&[Row]>) {
        let Some(call) = self.calls.get_mut(&number) else {
            return;
        };
        let Some(rows) = rows else {
            call.stage = Stage::Waiting;
            return;
        };
        let request = call.call.clone();
        if let operator::Action::Status { job: Some(job) } = &request.action {
            return self.handle_job_rows(number, job, rows);
        }
        match self.prepare(&request, rows) {
            Ok((transaction, effect)) => self.write_call(number, transaction, effect),
            Err(Reply::Configured { version, .. }) => self.distribute_config(number, version),
            Err(reply) => self.finish_call(number, reply),
        }
    }

    fn write_call(&mut self, number: u64, transaction: Transaction, effect: Effect) {
        let mut writes = transaction.writes.iter();
        let locked = writes.any(|write| self.writer.is_locked(&write.key));
        let Some(call) = self.calls.get_mut(&number) else {
            return;
        };
        if locked {
            call.stage = Stage::Waiting;
            return;
        }
        call.stage = Stage::Writing(effect);
        self.writer.push(Purpose::Call(number), transaction);
    }

    /// Handles the outcome of the transaction of a call. After a conflict the rows are read again.
    pub(super) fn call_resolved(&mut self, number: u64, resolution: &Resolution) {
        let Some(call) = self.calls.get_mut(&number) else {
            return;
        };
        match resolution {
            Resolution::Done(_) => {
                let stage = std::mem::replace(&mut call.stage, Stage::Waiting);
                if let Stage::Writing(effect) = stage {
                    self.apply_effect(number, effect);
                }
            }
            Resolution::Conflict(_) if call.attempts < MAX_ATTEMPTS && !call.answered => {
                call.stage = Stage::Waiting;
                self.read_call(number);
            }
            Resolution::Unavailable if !call.answered => call.stage = Stage::Waiting,
            Resolution::Conflict(_) | Resolution::Unavailable => {
                self.finish_call(number, Reply::Refused(Refusal::Unavailable));
            }
        }
    }

    fn apply_effect(&mut self, number: u64, effect: Effect) {
        match effect {
            Effect::Job(job, groups, kind) => {
                self.record_event(kind, &job, None, "stored with the operator's call");
                for group in groups {
                    self.notify_owner(&group, &job);
                }
            }
            Effect::Drain(vm, leave) => self.distribute_drain(&vm, leave),
            Effect::Config(version, document) => {
                let changed = self.rollout.apply(version, document);
                self.apply_config(changed);
                self.distribute_config(number, version);
                return;
            }
        }
        self.finish_call(number, Reply::Accepted);
    }

    /// Pushes a version to all live entries and waits for them to confirm it, up to
    /// [`rollout::CONFIRM_TIMEOUT`].
    fn distribute_config(&mut self, number: u64, version: Version) {
        let until = self.now + rollout::CONFIRM_TIMEOUT;
        if let Some(call) = self.calls.get_mut(&number) {
            call.stage = Stage::Distributing(version, until);
        }
        let peers = Vec::from_iter(self.roster.peers(self.now).map(|peer| peer.entry.clone()));
        for peer in peers {
            self.push_config(&peer);
        }
        self.check_distribution(number);
    }

    /// Answers a reconfiguration once all live entries have confirmed it or the time is up.
    fn check_distribution(&mut self, number: u64) {
        let Some(call) = self.calls.get(&number) else {
            return;
        };
        let Stage::Distributing(version, until) = call.stage else {
            return;
        };
        let mut in_force = Vec::new();
        let mut pending = Vec::new();
        let own = self.roster.own();
        for member in self.roster.peers(self.now).chain([own]) {
            if member.version >= version {
                in_force.push(member.entry.clone());
            } else {
                pending.push(member.entry.clone());
            }
        }
        if pending.is_empty() || self.now >= until {
            in_force.sort_unstable();
            pending.sort_unstable();
            let reply = Reply::Configured {
                version,
                in_force,
                pending,
            };
            self.finish_call(number, reply);
        }
    }

    /// Continues waiting calls, and answers those past [`CALL_TIMEOUT`].
    pub(super) fn advance_calls(&mut self) {
        let numbers = Vec::from_iter(self.calls.keys().copied());
        for number in numbers {
            let Some(call) = self.calls.get_mut(&number) else {
                continue;
            };
            let timed_out = self.now.since(call.since) >= CALL_TIMEOUT;
            match call.stage {
                Stage::Distributing(..) => self.check_distribution(number),
                // An earlier copy of the same call may still take effect.
                Stage::Waiting
                    if timed_out && self.writer.is_locked(&table::key("call", &call.call.id)) =>
                {
                    self.finish_call(number, Reply::Unknown);
                }
                Stage::Waiting if !timed_out => self.read_call(number),
                Stage::Waiting | Stage::Reading | Stage::Collecting if timed_out => {
                    self.finish_call(number, Reply::Refused(Refusal::Unavailable));
                }
                Stage::Writing(_) if timed_out && !call.answered => {
                    call.answered = true;
                    let route = call.route;
                    self.reply(route, Reply::Unknown);
                }
                _ => {}
            }
        }
    }

    /// Handles both reads of a job's status: the first returns the index, the second the pieces.
    fn handle_job_rows(&mut self, number: u64, job: &Name, rows: &[Row]) {
        let collecting = self.calls.get_mut(&number).is_some_and(|call| {
            let before = std::mem::replace(&mut call.stage, Stage::Collecting);
            matches!(before, Stage::Collecting)
        });
        if collecting {
            let reply = self.job_status(job, rows);
            self.finish_call(number, reply);
            return;
        }
        match Self::piece_keys(job, rows) {
            Some(keys) => {
                self.start_read(Reading::Call(number), Operation::Read(keys));
            }
            None => self.finish_call(number, Reply::Refused(Refusal::Missing)),
        }
    }
}
