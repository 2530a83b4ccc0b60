//! The configuration in force: queues and the services that run their tasks.

use std::sync::Arc;

use decision::clock::Ms;
use decision::name::Name;

/// A whole configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Config {
    /// Rises with each change.
    pub version: u64,
    /// Where customers submit jobs.
    pub queues: Vec<Queue>,
    /// Groups of workers.
    pub services: Vec<Service>,
    /// The longest body of a customer's request, in bytes.
    pub max_body_bytes: usize,
}

/// One queue.
#[derive(Clone, Debug, PartialEq)]
pub struct Queue {
    /// Its name.
    pub name: Name,
    /// The host that customers address.
    pub host: Arc<str>,
    /// The start of the paths that belong to it.
    pub prefix: Arc<str>,
    /// The service whose workers run its tasks.
    pub service: Name,
    /// 0 comes first.
    pub priority: u32,
    /// Failed runs after which a task has failed.
    pub max_attempts: u32,
    /// The latency objective as a multiple of the longest chain of work.
    pub stretch: f64,
    /// Added to the latency objective.
    pub latency_allowance: Ms,
    /// Whether starts need a ticket of the advice service.
    pub needs_ticket: bool,
}

/// One service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: Name,
    /// Its VMs are switched off.
    pub is_spare: bool,
}

impl Config {
    /// The queue for a host and path, with the rest of the path after its prefix.
    #[must_use]
    pub fn find_queue<'a, 'b>(&'a self, host: &str, path: &'b str) -> Option<(&'a Queue, &'b str)> {
        let matching = self
            .queues
            .iter()
            .filter(|queue| *queue.host == *host && path.starts_with(&*queue.prefix));
        let longest = matching.max_by_key(|queue| queue.prefix.len())?;
        Some((longest, &path[longest.prefix.len()..]))
    }

    /// The queue of this name.
    #[must_use]
    pub fn queue(&self, name: &Name) -> Option<&Queue> {
        self.queues.iter().find(|queue| queue.name == *name)
    }
}
