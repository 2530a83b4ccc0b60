//! The bounded queue of one service, fair between teams.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;

use crate::classify::Class;
use crate::clock::Ms;
use crate::name::Name;

/// Virtual time for one ms of expected run time at weight 1.
const VIRTUAL_TIME_SCALE: u64 = 1_000;
/// Weight of the newest request in the mean time until deadlines.
const TIMEOUT_WEIGHT: f32 = 0.02;
/// Idle teams whose virtual time is remembered.
const MAX_IDLE_TEAMS: usize = 1_024;

/// Where a request stands in the queue: by arrival, then in order of entering.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Position {
    arrived: Ms,
    number: u64,
}

/// A request that enters the queue.
#[derive(Clone, Debug)]
pub struct Item {
    /// The request.
    pub call: u64,
    /// Its team.
    pub team: Name,
    /// The team's weight.
    pub weight: u32,
    /// Its class.
    pub class: Class,
    /// When it arrived at this entry.
    pub arrived: Ms,
    /// When it entered the queue: later than it arrived, if it was sent in between and failed.
    pub entered: Ms,
    /// When it is too late.
    pub deadline: Ms,
    /// The time it is expected to hold a slot.
    pub cost: Ms,
}

#[derive(Debug, Default)]
struct Team {
    /// The share received so far.
    virtual_time: u64,
    weight: u64,
    waiting: BTreeSet<Position>,
}

#[derive(Debug, Default)]
struct Lane {
    teams: HashMap<Name, Team>,
    /// Teams with waiting requests by the share received.
    active: BTreeSet<(u64, Name)>,
    virtual_time: u64,
    waiting: usize,
}

impl Lane {
    fn push(&mut self, position: Position, item: &Item) {
        if self.teams.len() > MAX_IDLE_TEAMS {
            self.teams.retain(|_, team| !team.waiting.is_empty());
        }
        let team = self.teams.entry(item.team.clone()).or_default();
        team.weight = u64::from(item.weight.max(1));
        if team.waiting.is_empty() {
            team.virtual_time = team.virtual_time.max(self.virtual_time);
            self.active.insert((team.virtual_time, item.team.clone()));
        }
        team.waiting.insert(position);
        self.waiting += 1;
    }

    fn remove(&mut self, position: Position, item: &Item) {
        let Some(team) = self.teams.get_mut(&item.team) else {
            return;
        };
        team.waiting.remove(&position);
        self.waiting -= 1;
        if team.waiting.is_empty() {
            self.active.remove(&(team.virtual_time, item.team.clone()));
        }
    }

    /// Charges a request that is served to its team.
    fn charge(&mut self, item: &Item) {
        let Some(team) = self.teams.get_mut(&item.team) else {
            return;
        };
        let active = self.active.remove(&(team.virtual_time, item.team.clone()));
        self.virtual_time = self.virtual_time.max(team.virtual_time);
        team.virtual_time += item.cost.0.max(1) * VIRTUAL_TIME_SCALE / team.weight;
        if active {
            self.active.insert((team.virtual_time, item.team.clone()));
        }
    }

    fn head(&self, newest_first: bool) -> Option<Position> {
        let (_, name) = self.active.first()?;
        let waiting = &self.teams.get(name)?.waiting;
        if newest_first {
            waiting.last().copied()
        } else {
            waiting.first().copied()
        }
    }
}

/// The queue of one service.
#[derive(Debug)]
pub struct Queue {
    bound: usize,
    number: u64,
    /// The mean time that requests bring along until their deadline, in ms.
    mean_timeout: f32,
    items: BTreeMap<Position, Item>,
    short: Lane,
    long: Lane,
}

impl Queue {
    /// An empty queue for at most `bound` requests.
    #[must_use]
    pub fn new(bound: usize) -> Self {
        Self {
            bound,
            number: 0,
            mean_timeout: 0.0,
            items: BTreeMap::new(),
            short: Lane::default(),
            long: Lane::default(),
        }
    }

    /// Changes the bound; what waits already stays.
    pub const fn set_bound(&mut self, bound: usize) {
        self.bound = bound;
    }

    /// Whether it holds as many requests as it may.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.items.len() >= self.bound
    }

    /// Whether nothing waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// How many requests wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// How many requests of the class wait.
    #[must_use]
    pub const fn waiting(&self, class: Class) -> usize {
        match class {
            Class::Short => self.short.waiting,
            Class::Long => self.long.waiting,
        }
    }

    /// Puts a request in, even beyond the bound.
    pub fn push(&mut self, item: Item) -> Position {
        self.number += 1;
        let timeout = item.deadline.since(item.entered).0 as f32;
        let weight = TIMEOUT_WEIGHT.max(1.0 / self.number as f32);
        self.mean_timeout += weight * (timeout - self.mean_timeout);
        let position = Position {
            arrived: item.arrived,
            number: self.number,
        };
        self.lane(item.class).push(position, &item);
        self.items.insert(position, item);
        position
    }

    /// Takes a request out without serving it.
    pub fn remove(&mut self, position: Position) {
        if let Some(item) = self.items.remove(&position) {
            self.lane(item.class).remove(position, &item);
        }
    }

    /// Takes a request out to serve it.
    pub fn serve(&mut self, position: Position) {
        if let Some(item) = self.items.remove(&position) {
            let lane = self.lane(item.class);
            lane.charge(&item);
            lane.remove(position, &item);
        }
    }

    /// The request of the class to serve next.
    #[must_use]
    pub fn head(&self, now: Ms, class: Class) -> Option<u64> {
        let newest_first = self.overloaded(now);
        let lane = match class {
            Class::Short => &self.short,
            Class::Long => &self.long,
        };
        let position = lane.head(newest_first)?;
        self.items.get(&position).map(|item| item.call)
    }

    /// Whether the oldest request has waited for more than half of the usual time. Serving the newest
    /// first then lets at least those meet their deadlines. The usual time is a mean, so that one
    /// request that comes with little time left does not turn the whole queue around.
    #[must_use]
    pub fn overloaded(&self, now: Ms) -> bool {
        self.items
            .first_key_value()
            .is_some_and(|(_, item)| now.since(item.entered).0 as f32 * 2.0 > self.mean_timeout)
    }

    /// How many requests of the class are served before a new one of the team.
    #[must_use]
    pub fn ahead(&self, now: Ms, team: &Name, weight: u32, class: Class) -> usize {
        if self.overloaded(now) {
            return 0;
        }
        let lane = match class {
            Class::Short => &self.short,
            Class::Long => &self.long,
        };
        let weight = u64::from(weight.max(1));
        let active = lane.active.iter().map(|(_, name)| name);
        let others = active.filter(|name| *name != team);
        let others: u64 = others
            .filter_map(|name| lane.teams.get(name))
            .map(|team| team.weight)
            .sum();
        let own = lane.teams.get(team).map_or(0, |team| team.waiting.len());
        let fair = own as u64 * (weight + others) / weight;
        usize::try_from(fair).map_or(lane.waiting, |fair| fair.min(lane.waiting))
    }

    /// The request to refuse in favour of a new one of the team when the queue is full: one of the
    /// team that holds most for its weight, unless that is the new one.
    #[must_use]
    pub fn victim(&self, now: Ms, team: &Name, weight: u32) -> Option<u64> {
        let mut own = 1;
        let mut most = None;
        for (name, team_weight, waiting) in self.team_loads() {
            let load = waiting as u64 * VIRTUAL_TIME_SCALE / team_weight;
            if name == team {
                own += waiting as u64;
            }
            if most.is_none_or(|(most, _)| load > most) {
                most = Some((load, name));
            }
        }
        let (load, name) = most?;
        let overloaded = self.overloaded(now);
        if name == team {
            return overloaded.then(|| self.edge_of(name, true)).flatten();
        }
        let fair = own * VIRTUAL_TIME_SCALE / u64::from(weight.max(1)) <= load;
        fair.then(|| self.edge_of(name, overloaded)).flatten()
    }

    fn edge_of(&self, team: &Name, oldest: bool) -> Option<u64> {
        let positions = [&self.short, &self.long]
            .into_iter()
            .filter_map(|lane| lane.teams.get(team))
            .filter_map(|team| {
                if oldest {
                    team.waiting.first()
                } else {
                    team.waiting.last()
                }
            });
        let position = if oldest {
            positions.min()
        } else {
            positions.max()
        };
        self.items.get(position?).map(|item| item.call)
    }

    /// Teams with waiting requests, their weights and how many wait, summed over the classes.
    fn team_loads(&self) -> impl Iterator<Item = (&Name, u64, usize)> {
        let both = self.short.active.iter().map(|(_, name)| name);
        let only_long = self
            .long
            .active
            .iter()
            .map(|(_, name)| name)
            .filter(|name| {
                self.short
                    .teams
                    .get(*name)
                    .is_none_or(|team| team.waiting.is_empty())
            });
        both.chain(only_long).map(|name| {
            let teams = [&self.short, &self.long].map(|lane| lane.teams.get(name));
            let waiting = teams.iter().flatten().map(|team| team.waiting.len()).sum();
            let weight = teams.iter().flatten().map(|team| team.weight).max();
            (name, weight.unwrap_or(1), waiting)
        })
    }

    const fn lane(&mut self, class: Class) -> &mut Lane {
        match class {
            Class::Short => &mut self.short,
            Class::Long => &mut self.long,
        }
    }
}
