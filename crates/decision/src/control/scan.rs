//! Scans of the stored work of owned groups.

use super::Machine;
use super::flush::Stored;
use super::store::PAGE_ROWS;
use super::store::Purpose;
use super::store::Reading;
use super::store::Scan;
use crate::clock::Ms;
use crate::commit::Transaction;
use crate::group::Authority;
use crate::name::Name;
use crate::piece::Piece;
use crate::place;
use crate::record;
use crate::record::Work;
use crate::step::Step;
use crate::table;
use crate::table::Operation;
use crate::table::Row;
use crate::table::Version;

/// The interval between scans of the work of one group.
const SCAN_INTERVAL: Ms = Ms(10_000);
/// The key of a deleted row is kept for this long, which is longer than any scan takes.
const REMOVED_RETENTION: Ms = Ms(120_000);

impl<B> Machine<B>
where
    B: Step<Event = place::Event, Action = place::Order> + place::Read,
{
    /// Starts the scans that are due, of owned and confirmed groups only.
    pub(super) fn start_due_scans(&mut self) {
        self.removed
            .retain(|_, at| self.now.since(*at) < REMOVED_RETENTION);
        let now = self.now;
        let due = self.held.iter_mut().filter(|(_, held)| {
            held.authority == Authority::Row
                && held.confirmed
                && !held.scanning
                && now >= held.next_scan
        });
        let mut scans = Vec::new();
        for (group, held) in due {
            held.scanning = true;
            held.next_scan = now + SCAN_INTERVAL;
            scans.push(Scan {
                group: group.clone(),
                epoch: held.epoch,
                began: now,
                rows: Vec::new(),
            });
        }
        for scan in scans {
            let prefix = format!("job/{}/", scan.group);
            self.start_scan(Reading::Work(scan), &prefix, "");
        }
    }

    /// Reads the next page of work, or finally the group's row. If the row still has the version of
    /// this entry's epoch then, this entry was the owner throughout the scan.
    pub(super) fn handle_work_rows(&mut self, mut scan: Scan, rows: Vec<Row>) {
        let is_full_page = rows.len() == PAGE_ROWS as usize;
        scan.rows.extend(rows);
        let prefix = format!("job/{}/", scan.group);
        if let (Some(last), true) = (scan.rows.last(), is_full_page) {
            let after = last.key.clone();
            self.start_scan(Reading::Work(scan), &prefix, &after);
            return;
        }
        let key = table::key("group", &scan.group);
        self.start_read(Reading::ScanCheck(scan), Operation::Read(vec![key]));
    }

    /// Passes the scanned work to the board if the group's row has the version of the epoch.
    pub(super) fn handle_scan_check(&mut self, scan: &Scan, rows: &[Row]) {
        let Some(held) = self.held.get_mut(&scan.group) else {
            return;
        };
        if held.epoch != scan.epoch {
            return;
        }
        held.scanning = false;
        let version = rows.first().map_or(Version(0), |row| row.version);
        if version.0 != scan.epoch.row {
            self.lose_group(&scan.group, "its row has changed");
            return;
        }
        // Work that the first scan finds, or passes over, may have been stored and started by a
        // former owner.
        let is_first = !std::mem::replace(&mut held.scanned, true);
        let passed_over = std::mem::take(&mut held.passed_over);
        let fresh = held.fresh;
        let is_old = |key: &String| !fresh && (is_first || passed_over.contains(key));
        let mut cancelled = Vec::new();
        for row in &scan.rows {
            let removed = self.removed.get(&row.key);
            if removed.is_some_and(|at| *at >= scan.began) {
                continue;
            }
            let old = is_old(&row.key);
            if self.writer.is_locked(&row.key) {
                if let Some(held) = self.held.get_mut(&scan.group).filter(|_| old) {
                    held.passed_over.insert(row.key.clone());
                }
                continue;
            }
            let work = record::decode::<Work>(&row.value);
            self.record_decode_result(&row.key, work.as_ref().err().cloned());
            match work {
                Ok(Work::Piece(piece)) => self.add_scanned_piece(scan, row.version, piece, old),
                Ok(Work::Cancel(job)) => cancelled.push((job, row)),
                Err(_) => {}
            }
        }
        self.apply_cancellations(scan, cancelled);
    }

    fn add_scanned_piece(&mut self, scan: &Scan, version: Version, piece: Piece, old: bool) {
        let name = piece.name.clone();
        if self.pieces.contains_key(&name) {
            return;
        }
        let count = u32::try_from(piece.tasks.len()).unwrap_or(u32::MAX);
        let stored = Stored {
            group: scan.group.clone(),
            job: piece.job.name.clone(),
            version,
            tasks: piece.first..piece.first.saturating_add(count),
            dirty: false,
        };
        self.pieces.insert(name, stored);
        let group = scan.group.clone();
        self.drive(place::Event::Piece { group, piece, old });
    }

    /// Cancels jobs in a group, and deletes each cancellation whose job has no open piece left
    /// there.
    fn apply_cancellations(&mut self, scan: &Scan, cancelled: Vec<(Name, &Row)>) {
        let mut transaction = Transaction::default();
        for (job, row) in cancelled {
            let is_open = |stored: &Stored| stored.group == scan.group && stored.job == job;
            if self.pieces.values().any(is_open) {
                self.drive(place::Event::Cancel(job));
            } else {
                transaction.replace(row.key.clone(), row.version, None);
            }
        }
        if !transaction.writes.is_empty() {
            let group = table::key("group", &scan.group);
            transaction.require(group, Version(scan.epoch.row));
            self.writer.push(Purpose::Flush(Vec::new()), transaction);
        }
    }
}
