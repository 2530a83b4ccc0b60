//! The waiting tasks, grouped into classes, with the classes of each team in arrival order.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::VecDeque;

use super::ledger::piece::Key;
use crate::clock::Ms;
use crate::name::Name;
use crate::resource::Size;

/// The properties that the tasks of a class share. If one of them cannot be placed, none can.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Shape {
    /// The index of the group in which they are placed.
    pub group: u32,
    /// The team that owns the job.
    pub team: Name,
    /// Whether the tasks are urgent, so that they come before those of all teams that are not.
    pub urgent: bool,
    /// The kind of the job, which selects estimates and measured interference.
    pub kind: Name,
    /// The size that the job declares for each task.
    pub size: Size,
    /// The minimum memory to grant after an earlier attempt ran out of it, in MB; else zero.
    pub memory_floor: u32,
}

/// The readiness of a class.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum State {
    /// No task of the class waits.
    Empty,
    /// The placement of the first task may be tried.
    Ready,
    /// The first task could not be placed; the class waits to be unblocked.
    Blocked,
}

/// The waiting tasks of one shape.
#[derive(Debug)]
pub struct Class {
    /// The properties that the tasks share.
    pub shape: Shape,
    /// The tasks in the order in which they began to wait, each with the time when it did.
    pub tasks: VecDeque<(Key, Ms)>,
    /// Whether the first task may be tried.
    pub state: State,
    /// The worker whose free capacity is reserved for the class.
    pub reserved: Option<u32>,
    /// When pieces of the class were last offered to other groups.
    pub last_offered: Option<Ms>,
    /// The position among the classes of its team, assigned when the class stops being empty.
    sequence: u64,
}

/// All waiting tasks of a board.
#[derive(Debug, Default)]
pub struct Queue {
    classes: Vec<Class>,
    shapes: HashMap<Shape, u32>,
    ready: HashMap<(bool, Name), BTreeSet<(u64, u32)>>,
    blocked: BTreeMap<u32, VecDeque<u32>>,
    wanting_accelerators: BTreeSet<(u32, u32)>,
    last_unblocked: u32,
    last_sequence: u64,
}

impl Queue {
    /// Adds a waiting task to the class of its shape.
    pub fn push(&mut self, shape: Shape, key: Key, now: Ms) {
        let index = self.class_of(shape);
        self.classes[index as usize].tasks.push_back((key, now));
        if self.classes[index as usize].state == State::Empty {
            self.last_sequence += 1;
            let class = &mut self.classes[index as usize];
            class.sequence = self.last_sequence;
            if class.shape.size.accelerators > 0 {
                self.wanting_accelerators.insert((class.shape.group, index));
            }
            self.make_ready(index);
        }
    }

    fn class_of(&mut self, shape: Shape) -> u32 {
        if let Some(&index) = self.shapes.get(&shape) {
            return index;
        }
        let index = u32::try_from(self.classes.len()).expect("there are fewer than 2^32 classes");
        self.shapes.insert(shape.clone(), index);
        self.classes.push(Class {
            shape,
            tasks: VecDeque::new(),
            state: State::Empty,
            reserved: None,
            last_offered: None,
            sequence: 0,
        });
        index
    }

    fn make_ready(&mut self, index: u32) {
        let class = &mut self.classes[index as usize];
        class.state = State::Ready;
        let team = (class.shape.urgent, class.shape.team.clone());
        let entry = (class.sequence, index);
        self.ready.entry(team).or_default().insert(entry);
    }

    fn remove_ready(&mut self, index: u32, state: State) {
        let class = &mut self.classes[index as usize];
        class.state = state;
        let team = (class.shape.urgent, class.shape.team.clone());
        if let Some(ready) = self.ready.get_mut(&team) {
            ready.remove(&(class.sequence, index));
            if ready.is_empty() {
                self.ready.remove(&team);
            }
        }
    }

    /// Returns the class to try next, among urgent classes if any is ready: the first one of the
    /// team with the lowest `share`.
    pub fn next(&self, mut share: impl FnMut(&Name) -> f64) -> Option<u32> {
        let urgent = self.ready.keys().any(|(urgent, _)| *urgent);
        let teams = self
            .ready
            .iter()
            .filter(|((is_urgent, _), _)| *is_urgent == urgent);
        let shares = teams.map(|((_, team), classes)| (share(team), team, classes));
        let least = shares.min_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.1.cmp(b.1)))?;
        least.2.first().map(|&(_, index)| index)
    }

    /// Returns the class at an index.
    #[must_use]
    pub fn class(&self, index: u32) -> &Class {
        &self.classes[index as usize]
    }

    /// Returns the class at an index for changes.
    pub fn class_mut(&mut self, index: u32) -> &mut Class {
        &mut self.classes[index as usize]
    }

    /// Removes the first task of a ready class.
    pub fn pop(&mut self, index: u32) {
        let class = &mut self.classes[index as usize];
        class.tasks.pop_front();
        if class.tasks.is_empty() {
            let group = class.shape.group;
            self.wanting_accelerators.remove(&(group, index));
            self.remove_ready(index, State::Empty);
        }
    }

    /// Blocks a ready class until it is unblocked. If `possible`, its first task could start on an
    /// empty worker of the group, so that accelerators are kept free for it.
    pub fn block(&mut self, index: u32, possible: bool) {
        self.remove_ready(index, State::Blocked);
        let shape = &self.classes[index as usize].shape;
        let group = shape.group;
        if possible && shape.size.accelerators > 0 {
            self.wanting_accelerators.insert((group, index));
        } else {
            self.wanting_accelerators.remove(&(group, index));
        }
        self.blocked.entry(group).or_default().push_back(index);
    }

    /// Unblocks up to `count` classes of a group. Returns how many were unblocked.
    pub fn unblock(&mut self, group: u32, count: usize) -> usize {
        let Some(blocked) = self.blocked.get_mut(&group) else {
            return 0;
        };
        let unblocked: Vec<u32> = blocked.drain(..count.min(blocked.len())).collect();
        if blocked.is_empty() {
            self.blocked.remove(&group);
        }
        unblocked.iter().for_each(|&index| self.make_ready(index));
        unblocked.len()
    }

    /// Unblocks up to `count` classes, one group after another in rotation.
    pub fn unblock_some(&mut self, count: usize) {
        let mut remaining = count;
        let after = self.last_unblocked.wrapping_add(1);
        let later = self.blocked.range(after..).map(|(group, _)| *group);
        let earlier = self.blocked.range(..after).map(|(group, _)| *group);
        for group in later.chain(earlier).collect::<Vec<_>>() {
            if remaining == 0 {
                return;
            }
            remaining -= self.unblock(group, remaining);
            self.last_unblocked = group;
        }
    }

    /// Returns the indices of the blocked classes.
    pub fn blocked(&self) -> impl Iterator<Item = u32> {
        self.blocked.values().flatten().copied()
    }

    /// Returns whether tasks that need accelerators wait in a group that could run them.
    #[must_use]
    pub fn wants_accelerators(&self, group: u32) -> bool {
        let of_group = (group, 0)..=(group, u32::MAX);
        self.wanting_accelerators.range(of_group).next().is_some()
    }
}
