//! The configuration in force: queues, and the services that run their tasks.

use std::sync::Arc;

use decision::clock::Ms;
use decision::name::Name;

/// The configuration that the operator stores.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Config {
    /// The version of the configuration, which rises with each change.
    pub version: u64,
    /// The queues to which customers submit jobs.
    pub queues: Vec<Queue>,
    /// The services, which are groups of workers.
    pub services: Vec<Service>,
    /// The longest body of a customer's request, in bytes.
    pub max_body_bytes: usize,
}

/// A queue to which customers submit jobs.
#[derive(Clone, Debug, PartialEq)]
pub struct Queue {
    /// The name of the queue.
    pub name: Name,
    /// The host that customers address.
    pub host: Arc<str>,
    /// The prefix of the request paths that belong to the queue.
    pub prefix: Arc<str>,
    /// The name of the service whose workers run the tasks of the queue.
    pub service: Name,
    /// The priority of the queue; 0 is the highest.
    pub priority: u32,
    /// The number of failed runs after which a task has failed.
    pub max_attempts: u32,
    /// The factor by which the longest chain of estimated run times is multiplied to obtain the
    /// latency objective.
    pub stretch: f64,
    /// The time that is added to the stretched chain to obtain the latency objective.
    pub latency_allowance: Ms,
    /// Starts need a ticket of the advice service.
    pub needs_ticket: bool,
}

/// A group of workers.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// The name of the service.
    pub name: Name,
    /// The VMs of the service are switched off.
    pub is_spare: bool,
}

impl Config {
    /// Returns the queue for a host and path, with the rest of the path after the queue's prefix.
    /// The longest matching prefix wins.
    #[must_use]
    pub fn find_queue<'a, 'b>(&'a self, host: &str, path: &'b str) -> Option<(&'a Queue, &'b str)> {
        let matching = self
            .queues
            .iter()
            .filter(|queue| *queue.host == *host && path.starts_with(&*queue.prefix));
        let longest = matching.max_by_key(|queue| queue.prefix.len())?;
        Some((longest, &path[longest.prefix.len()..]))
    }

    /// Returns the queue with this name.
    #[must_use]
    pub fn queue(&self, name: &Name) -> Option<&Queue> {
        self.queues.iter().find(|queue| queue.name == *name)
    }
}
