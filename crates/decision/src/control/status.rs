//! Answers to status calls.

use super::Machine;
use crate::job;
use crate::name::Name;
use crate::operator::Progress;
use crate::operator::Refusal;
use crate::operator::Reply;
use crate::operator::Status;
use crate::operator::Worker;
use crate::piece::Piece;
use crate::piece::Record;
use crate::place;
use crate::record;
use crate::resource::Size;
use crate::step::Step;
use crate::table::Row;

impl<B> Machine<B>
where
    B: Step<Event = place::Event, Action = place::Order> + place::Read,
{
    /// The state of the system as this entry knows it, without reading the table.
    pub(super) fn status(&self) -> Reply {
        let mut members =
            Vec::from_iter(self.roster.peers(self.now).map(|peer| peer.entry.clone()));
        members.push(self.identity.entry.clone());
        members.sort_unstable();
        Reply::Status(Status {
            workers: self.worker_status(),
            members,
            jobs: self.board.progress(None),
            ..self.base_status()
        })
    }

    fn base_status(&self) -> Status {
        Status {
            entry: self.identity.entry.to_string(),
            version: self.rollout.version(),
            ..Status::default()
        }
    }

    fn worker_status(&self) -> Vec<Worker> {
        let peers = self.roster.peers(self.now).chain([self.roster.own()]);
        let owners = peers.flat_map(|peer| {
            let claims = peer.room.iter();
            claims.map(move |(group, _)| (group.clone(), peer.entry.clone()))
        });
        let mut owners = std::collections::BTreeMap::from_iter(owners);
        let own = self.held.keys();
        owners.extend(own.map(|group| (group.clone(), self.identity.entry.clone())));
        let summaries = self.board.workers();
        let worker = |vm: &crate::vm::Vm| {
            let summary = summaries.iter().find(|summary| summary.vm == vm.name);
            Worker {
                vm: vm.name.clone(),
                owner: owners.get(&vm.group).cloned(),
                leaving: self.fleet.is_leaving(vm),
                booked: summary.map_or(Size::ZERO, |summary| summary.booked),
                tasks: summary.map_or(0, |summary| summary.tasks),
            }
        };
        self.fleet.list.iter().map(worker).collect()
    }

    /// The state of a job in the pieces held here, for use while the table cannot be read.
    pub(super) fn job_status_from_board(&self, job: &Name) -> Reply {
        let jobs = self.board.progress(Some(job));
        if jobs.is_empty() {
            return Reply::Refused(Refusal::Unavailable);
        }
        Reply::Status(Status {
            jobs,
            ..self.base_status()
        })
    }

    /// The keys of all rows that may hold a piece of the job, or `None` if there is no such job.
    pub(super) fn piece_keys(job: &Name, rows: &[Row]) -> Option<Vec<String>> {
        let index = record::decode::<record::Index>(&rows.first()?.value).ok()?;
        let mut keys = Vec::new();
        for (number, group) in index.groups.iter().enumerate() {
            let piece = format!("{job}.{number}");
            keys.push(job::piece_key(group, &piece));
            keys.push(job::ended_key(&piece));
        }
        Some(keys)
    }

    /// Sums up the tasks of stored pieces. For pieces held here the board is used instead, because
    /// it knows which tasks run.
    pub(super) fn job_status(&self, job: &Name, rows: &[Row]) -> Reply {
        let mut sum = Progress {
            job: job.clone(),
            pending: 0,
            running: 0,
            done: 0,
            cancelled: 0,
            failed: 0,
        };
        for row in rows {
            let stored = if row.key.starts_with("ended/") {
                record::decode::<Piece>(&row.value).ok()
            } else {
                match record::decode::<record::Work>(&row.value) {
                    Ok(record::Work::Piece(piece)) => Some(piece),
                    _ => None,
                }
            };
            let held = |piece: &Piece| self.board.piece(&piece.name).is_some();
            if let Some(piece) = stored.filter(|piece| !held(piece)) {
                add_counts(&mut sum, &piece);
            }
        }
        for own in self.board.progress(Some(job)) {
            sum.pending += own.pending;
            sum.running += own.running;
            sum.done += own.done;
            sum.cancelled += own.cancelled;
            sum.failed += own.failed;
        }
        Reply::Status(Status {
            jobs: vec![sum],
            ..self.base_status()
        })
    }
}

fn add_counts(sum: &mut Progress, piece: &Piece) {
    for task in &piece.tasks {
        *match task {
            Record::Open { .. } => &mut sum.pending,
            Record::Done => &mut sum.done,
            Record::Cancelled => &mut sum.cancelled,
            Record::Failed => &mut sum.failed,
        } += 1;
    }
}
