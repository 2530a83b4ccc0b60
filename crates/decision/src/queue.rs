//! The bounded queue of waiting requests of one service, with weighted fair queueing between teams.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;

use crate::classify::Class;
use crate::clock::Ms;
use crate::name::Name;

/// Virtual time units for one ms of expected run time at weight 1.
const VIRTUAL_TIME_SCALE: u64 = 1_000;
/// Weight of the newest request in the mean timeout.
const TIMEOUT_WEIGHT: f32 = 0.02;
/// Number of teams in a lane above which the virtual times of idle teams are dropped.
const MAX_IDLE_TEAMS: usize = 1_024;

/// The position of a request in the queue: by time of arrival, then in the order of insertion.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Position {
    arrived: Ms,
    number: u64,
}

/// A request in the queue.
#[derive(Clone, Debug)]
pub struct Item {
    /// The number of the request, assigned by the caller of the queue.
    pub call: u64,
    /// The team that the request is charged to.
    pub team: Name,
    /// The weight of the team; zero counts as 1.
    pub weight: u32,
    /// The run-time class, which selects the lane.
    pub class: Class,
    /// When the request arrived at this entry.
    pub arrived: Ms,
    /// When the request entered the queue. This is later than its arrival if an attempt was sent
    /// and failed in between.
    pub entered: Ms,
    /// The time after which an answer is of no use.
    pub deadline: Ms,
    /// The time for which the request is expected to hold a slot.
    pub cost: Ms,
}

/// The waiting requests of one team in one class.
#[derive(Debug, Default)]
struct Team {
    /// The service received so far, divided by the weight.
    virtual_time: u64,
    weight: u64,
    waiting: BTreeSet<Position>,
}

/// The waiting requests of one class, with the fair share of each team.
#[derive(Debug, Default)]
struct Lane {
    teams: HashMap<Name, Team>,
    /// The teams with waiting requests, by virtual time.
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

    /// Charges the cost of a served request to its team.
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
    /// The mean time from entering the queue to the deadline, in ms.
    mean_timeout: f32,
    items: BTreeMap<Position, Item>,
    short: Lane,
    long: Lane,
}

impl Queue {
    /// Creates an empty queue for at most `bound` requests.
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

    /// Changes the maximum length. Requests that already wait stay in the queue.
    pub const fn set_bound(&mut self, bound: usize) {
        self.bound = bound;
    }

    /// Returns whether the queue has reached its maximum length.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.items.len() >= self.bound
    }

    /// Returns whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Returns the number of waiting requests of both classes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Returns the number of waiting requests of the class.
    #[must_use]
    pub const fn waiting(&self, class: Class) -> usize {
        match class {
            Class::Short => self.short.waiting,
            Class::Long => self.long.waiting,
        }
    }

    /// Adds a request, even if the queue is full; the caller checks [`Self::is_full`].
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

    /// Removes a request without charging its team.
    pub fn remove(&mut self, position: Position) {
        if let Some(item) = self.items.remove(&position) {
            self.lane(item.class).remove(position, &item);
        }
    }

    /// Removes a request to serve it, and charges its team.
    pub fn serve(&mut self, position: Position) {
        if let Some(item) = self.items.remove(&position) {
            let lane = self.lane(item.class);
            lane.charge(&item);
            lane.remove(position, &item);
        }
    }

    /// Returns the request of the class to serve next.
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

    /// Returns whether the oldest request has waited for more than half of the mean timeout. The
    /// newest requests are then served first, so that at least these meet their deadlines. The
    /// timeout is a mean, so that a single request with a short one does not reverse the order of
    /// the queue.
    #[must_use]
    pub fn overloaded(&self, now: Ms) -> bool {
        self.items
            .first_key_value()
            .is_some_and(|(_, item)| now.since(item.entered).0 as f32 * 2.0 > self.mean_timeout)
    }

    /// Returns how many requests of the class are expected to be served before a new one of the
    /// team.
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
        let other_weights: u64 = others
            .filter_map(|name| lane.teams.get(name))
            .map(|team| team.weight)
            .sum();
        let own = lane.teams.get(team).map_or(0, |team| team.waiting.len());
        let ahead = own as u64 * (weight + other_weights) / weight;
        usize::try_from(ahead).map_or(lane.waiting, |ahead| ahead.min(lane.waiting))
    }

    /// Returns the request to refuse in favour of a new one of the team when the queue is full. It
    /// belongs to the team with the most waiting requests for its weight. `None` means that the new
    /// request itself is to be refused.
    #[must_use]
    pub fn victim(&self, now: Ms, team: &Name, weight: u32) -> Option<u64> {
        let mut own = 1;
        let mut heaviest = None;
        for (name, team_weight, waiting) in self.team_loads() {
            let load = waiting as u64 * VIRTUAL_TIME_SCALE / team_weight;
            if name == team {
                own += waiting as u64;
            }
            if heaviest.is_none_or(|(highest, _)| load > highest) {
                heaviest = Some((load, name));
            }
        }
        let (load, name) = heaviest?;
        let overloaded = self.overloaded(now);
        if name == team {
            return overloaded.then(|| self.edge_of(name, true)).flatten();
        }
        let holds_less = own * VIRTUAL_TIME_SCALE / u64::from(weight.max(1)) <= load;
        holds_less.then(|| self.edge_of(name, overloaded)).flatten()
    }

    /// Returns the oldest or the newest waiting request of a team.
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

    /// Returns the teams with waiting requests, their weights, and the numbers of their waiting
    /// requests over both classes.
    fn team_loads(&self) -> impl Iterator<Item = (&Name, u64, usize)> {
        let with_short = self.short.active.iter().map(|(_, name)| name);
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
        with_short.chain(only_long).map(|name| {
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
