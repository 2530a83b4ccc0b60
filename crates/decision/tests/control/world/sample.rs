//! Sample names, workers, jobs and calls.

use std::net::SocketAddr;

use decision::clock::Ms;
use decision::config::Version;
use decision::name::Name;
use decision::operator;
use decision::resource::Size;
use decision::vm::State;
use decision::vm::Vm;

pub fn name(text: &str) -> Name {
    Name::try_from(text).unwrap()
}

/// A worker with 8 processors. Two workers form a group.
pub fn vm(index: usize) -> Vm {
    let port = u16::try_from(20_000 + index % 40_000).unwrap();
    Vm {
        name: name(&format!("vm-{index}")),
        address: SocketAddr::from(([127, 0, 0, 1], port)),
        group: name(&format!("rack-{}", index / 2)),
        domain: name("a"),
        capacity: Size {
            millicores: 8_000,
            memory_mb: 32_000,
            accelerators: 0,
        },
        slots: 8,
        state: State::Live,
    }
}

pub fn job(text: &str, tasks: u32) -> operator::Job {
    operator::Job {
        name: name(text),
        team: name("team"),
        kind: name("kind"),
        tasks,
        size: Size {
            millicores: 1_000,
            memory_mb: 1_000,
            accelerators: 0,
        },
        run_time: Ms(6_000),
        urgent: false,
    }
}

pub fn submit(id: &str, job: operator::Job) -> operator::Call {
    operator::Call {
        id: name(id),
        action: operator::Action::Submit(job),
    }
}

pub fn reconfigure(id: &str, expected: u64, evictions: u32) -> operator::Call {
    let mut document = decision::config::Document::default();
    document.limits.evictions = evictions;
    operator::Call {
        id: name(id),
        action: operator::Action::Reconfigure {
            expected: Version(expected),
            document,
            dry_run: false,
        },
    }
}
