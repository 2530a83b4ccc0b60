//! Helpers shared by the tests that drive a single leader.

use std::sync::Arc;

use decision::clock::Ms;
use decision::name::Name;
use decision::resource::Size;
use scheduler::config::Config;
use scheduler::config::Queue;
use scheduler::fleet::Registration;
use scheduler::job::Accepted;
use scheduler::leader::Bounds;
use scheduler::spec;

/// The time limits of the platform.
pub const BOUNDS: Bounds = Bounds {
    lease: Ms(6_000),
    retention: Ms(120_000),
    harm: Ms(4_000),
};

/// The incarnation of all registered workers.
pub const INCARNATION: Ms = Ms(77);

pub fn name(raw: &str) -> Name {
    Name::try_from(raw).expect("test names are valid")
}

/// Returns a configuration with one queue.
pub fn config() -> Config {
    Config {
        version: 1,
        queues: vec![Queue {
            name: name("queue"),
            host: Arc::from("host"),
            prefix: Arc::from("/q/"),
            service: name("service"),
            priority: 0,
            max_attempts: 3,
            stretch: 1.5,
            latency_allowance: Ms(250),
            needs_ticket: false,
        }],
        services: Vec::new(),
        max_body_bytes: 1_000,
    }
}

/// Returns the registration of a worker in this failure domain.
pub fn registration(domain: &str) -> Registration {
    Registration {
        service: name("service"),
        address: Arc::from("10.0.0.1:1"),
        domain: name(domain),
        size: Size {
            millicores: 8_000,
            memory_mb: 8_000,
            accelerators: 0,
        },
        labels: Vec::new(),
        incarnation: INCARNATION,
        is_draining: false,
    }
}

/// Returns an accepted job of these steps that runs once.
pub fn accepted_job(steps: Vec<spec::Step>) -> Accepted {
    Accepted {
        queue: name("queue"),
        spec: spec::Job {
            payload: Arc::from(""),
            steps,
            schedule: None,
        },
        at: Ms(1),
    }
}
