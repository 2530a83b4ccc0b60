//! Prepares the transaction by which an operator's call takes effect.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::Machine;
use crate::commit::Transaction;
use crate::config::Checked;
use crate::config::Document;
use crate::config::Version;
use crate::job;
use crate::name::Name;
use crate::operator;
use crate::operator::Job;
use crate::operator::Refusal;
use crate::operator::Reply;
use crate::place;
use crate::record;
use crate::resource::Size;
use crate::rollout;
use crate::step::Step;
use crate::table;
use crate::table::Row;
use crate::timeline::Kind;

/// What this entry does once a call is stored.
#[derive(Clone, Debug)]
pub(super) enum Effect {
    /// Notifies the owners of these groups about the job and records an event of this kind.
    Job(Name, BTreeSet<Name>, Kind),
    /// Applies the drain of a worker, or its end if the flag is false, here and at peers.
    Drain(Name, bool),
    /// Puts the configuration into force here and distributes it to peers.
    Config(Version, Document),
}

type Prepared = Result<(Transaction, Effect), Reply>;

fn refuse<T>(refusal: Refusal) -> Result<T, Reply> {
    Err(Reply::Refused(refusal))
}

fn damaged(key: &str, error: &record::Error) -> Reply {
    Reply::Refused(Refusal::Invalid(format!("row {key}: {error}")))
}

/// The decoded value and the version of the row with this key, or `None` if there is no such row.
fn find<T: serde::de::DeserializeOwned>(
    rows: &[Row],
    key: &str,
) -> Result<Option<(T, table::Version)>, Reply> {
    let Some(row) = rows.iter().find(|row| row.key == key) else {
        return Ok(None);
    };
    let value = record::decode(&row.value).map_err(|error| damaged(key, &error))?;
    Ok(Some((value, row.version)))
}

impl<B> Machine<B>
where
    B: Step<Event = place::Event, Action = place::Order> + place::Read,
{
    /// The transaction and the effect of a call, or its answer if the call was stored before or is
    /// refused.
    pub(super) fn prepare(&self, call: &operator::Call, rows: &[Row]) -> Prepared {
        let key = table::key("call", &call.id);
        let action = record::fingerprint(&call.action);
        if let Some((before, _)) = find::<record::Call>(rows, &key)? {
            if before.action == action {
                return Err(before.reply);
            }
            let reason = format!("call {}: the id was used for another call", call.id);
            return refuse(Refusal::Invalid(reason));
        }
        let mut transaction = Transaction::default();
        let effect = match &call.action {
            operator::Action::Submit(job) => self.prepare_submit(job, rows, &mut transaction)?,
            operator::Action::Cancel { job } => prepare_cancel(job, rows, &mut transaction)?,
            operator::Action::Drain { vm, leave } => {
                self.prepare_drain(vm, *leave, rows, &mut transaction)?
            }
            operator::Action::Reconfigure {
                expected, document, ..
            } => prepare_config(*expected, document, rows, &mut transaction)?,
            operator::Action::Status { .. } => return refuse(Refusal::Missing),
        };
        let reply = match &effect {
            Effect::Config(version, _) => Reply::Configured {
                version: *version,
                in_force: Vec::new(),
                pending: Vec::new(),
            },
            Effect::Job(..) | Effect::Drain(..) => Reply::Accepted,
        };
        let value = record::encode(&record::Call { action, reply });
        transaction.replace(key, table::Version(0), Some(value));
        Ok((transaction, effect))
    }

    fn prepare_submit(
        &self,
        job: &Job,
        rows: &[Row],
        transaction: &mut Transaction,
    ) -> Result<Effect, Reply> {
        let Some(config) = self.rollout.checked() else {
            return refuse(Refusal::Unavailable);
        };
        job::check(job, config).map_err(Reply::Refused)?;
        job::feasible(job, config, self.fleet.list.iter()).map_err(Reply::Refused)?;
        let key = job::index_key(&job.name);
        if find::<record::Index>(rows, &key)?.is_some() {
            let reason = format!("job {}: the name was used before", job.name);
            return refuse(Refusal::Invalid(reason));
        }
        let groups = self.capacities(job.size, config);
        let pieces = job::split(job, &groups);
        let index = record::Index {
            step: pieces.first().map_or(1, |(_, piece)| {
                u32::try_from(piece.tasks.len()).unwrap_or(1)
            }),
            groups: pieces.iter().map(|(group, _)| group.clone()).collect(),
            cancelled: false,
        };
        transaction.replace(key, table::Version(0), Some(record::encode(&index)));
        let mut used = BTreeSet::new();
        for (group, piece) in pieces {
            let key = job::piece_key(&group, &piece.name);
            let value = record::encode(&record::Work::Piece(piece));
            transaction.replace(key, table::Version(0), Some(value));
            used.insert(group);
        }
        Ok(Effect::Job(job.name.clone(), used, Kind::JobAccepted))
    }

    /// How many tasks of a size each group can hold, by the room that the owners report.
    pub(super) fn capacities(&self, size: Size, config: &Checked) -> BTreeMap<Name, job::Capacity> {
        let peers = self.roster.peers(self.now);
        let room = peers.chain([self.roster.own()]).flat_map(|peer| &peer.room);
        let room = BTreeMap::from_iter(room.cloned());
        let stays = |vm: &&crate::vm::Vm| !self.fleet.is_leaving(vm);
        let vms = self.fleet.list.iter().filter(stays);
        let groups = job::capacities(size, config, vms, &room);
        if groups.is_empty() {
            return job::capacities(size, config, self.fleet.list.iter(), &room);
        }
        groups
    }

    fn prepare_drain(
        &self,
        vm: &Name,
        leave: bool,
        rows: &[Row],
        transaction: &mut Transaction,
    ) -> Result<Effect, Reply> {
        if !self.fleet.vms.contains_key(vm) {
            return refuse(Refusal::Missing);
        }
        let key = table::key("drain", vm);
        let version = rows.iter().find(|row| row.key == key);
        let version = version.map_or(table::Version(0), |row| row.version);
        if leave || version != table::Version(0) {
            let value = leave.then(|| record::encode(vm));
            transaction.replace(key, version, value);
        }
        Ok(Effect::Drain(vm.clone(), leave))
    }

    /// The answer to a dry run.
    pub(super) fn compare_config(&self, expected: Version, document: &Document) -> Reply {
        let Some(current) = self.rollout.checked().filter(|_| self.rollout.is_ready()) else {
            return Reply::Refused(Refusal::Unavailable);
        };
        if expected != self.rollout.version() {
            return Reply::Refused(Refusal::Conflict(self.rollout.version()));
        }
        if let Err(error) = Checked::try_from(document.clone()) {
            return Reply::Refused(Refusal::Invalid(error.to_string()));
        }
        Reply::Difference(rollout::difference(current.document(), document))
    }
}

/// Marks the index as cancelled and adds a cancellation to each group that holds pieces. The commit
/// requires the version of the index, so that no piece moves to another group meanwhile.
fn prepare_cancel(
    job: &Name,
    rows: &[Row],
    transaction: &mut Transaction,
) -> Result<Effect, Reply> {
    let key = job::index_key(job);
    let Some((mut index, version)) = find::<record::Index>(rows, &key)? else {
        return refuse(Refusal::Missing);
    };
    let groups = BTreeSet::from_iter(index.groups.iter().cloned());
    let effect = Effect::Job(job.clone(), groups.clone(), Kind::JobCancelled);
    if index.cancelled {
        return Ok(effect);
    }
    index.cancelled = true;
    transaction.replace(key, version, Some(record::encode(&index)));
    for group in groups {
        let value = record::encode(&record::Work::Cancel(job.clone()));
        let key = job::cancel_key(&group, job);
        transaction.replace(key, table::Version(0), Some(value));
    }
    Ok(effect)
}

fn prepare_config(
    expected: Version,
    document: &Document,
    rows: &[Row],
    transaction: &mut Transaction,
) -> Result<Effect, Reply> {
    let found = find::<record::Config>(rows, rollout::KEY)?;
    let current = found
        .as_ref()
        .map_or(Version(0), |(config, _)| config.version);
    let row = found.map_or(table::Version(0), |(_, row)| row);
    if expected != current {
        return refuse(Refusal::Conflict(current));
    }
    if let Err(error) = Checked::try_from(document.clone()) {
        return refuse(Refusal::Invalid(error.to_string()));
    }
    let version = Version(current.0 + 1);
    let value = record::encode(&record::Config {
        version,
        document: document.clone(),
    });
    transaction.replace(rollout::KEY, row, Some(value.clone()));
    transaction.replace(
        rollout::history_key(version),
        table::Version(0),
        Some(value),
    );
    Ok(Effect::Config(version, document.clone()))
}
