//! Builders of facts, which take only the fields that differ between the cases.

use bytes::Bytes;
use decision::clock::Ms;
use decision::config::Document;
use decision::config::Version;
use decision::name::Name;
use decision::operator::Action;
use decision::operator::Call;
use decision::operator::Job;
use decision::operator::Reply;
use decision::request::Answer;
use decision::request::Outcome;
use decision::request::Refusal;
use decision::resource::Size;
use decision::worker::Epoch;
use history::Ending;
use history::Fact;
use history::Life;
use history::Log;
use history::answer;

pub fn name(raw: &str) -> Name {
    Name::try_from(raw).unwrap()
}

pub fn size(millicores: u32) -> Size {
    Size {
        millicores,
        memory_mb: 1_000,
        accelerators: 0,
    }
}

pub fn worker(vm: &str) -> Fact {
    Fact::Worker {
        vm: name(vm),
        capacity: size(4_000),
        reserved: Size::ZERO,
        slots: 1,
    }
}

pub fn start(vm: &str, attempt: u32, from: Option<&str>) -> Fact {
    Fact::TaskStarted {
        vm: name(vm),
        task: name("job#0"),
        attempt,
        grant: Size {
            memory_mb: 1,
            ..size(3_000)
        },
        from: from.map(Into::into),
    }
}

pub fn end(vm: &str, attempt: u32, ending: Ending) -> Fact {
    Fact::TaskEnded {
        vm: name(vm),
        task: name("job#0"),
        attempt,
        ending,
    }
}

pub fn acknowledged(vm: &str, attempt: u32) -> Fact {
    Fact::Acknowledged {
        vm: name(vm),
        task: name("job#0"),
        attempt,
    }
}

pub fn checkpoint(vm: &str, attempt: u32, key: &str) -> Fact {
    Fact::Checkpointed {
        vm: name(vm),
        task: name("job#0"),
        attempt,
        key: key.into(),
    }
}

pub fn sent(request: u64, sending: u32, repeatable: bool) -> Fact {
    Fact::Sent {
        request,
        sending,
        entry: name("e1"),
        repeatable,
        deadline: Ms(100),
        body: Bytes::from(format!("{request}/{sending}")),
    }
}

pub fn received(request: u64, sending: u32, outcome: Option<Outcome>) -> Fact {
    Fact::Received {
        request,
        sending,
        outcome,
    }
}

pub fn answered(body: &[u8]) -> Option<Outcome> {
    Some(Outcome::Answered(Answer {
        status: 200,
        body: answer(body),
    }))
}

pub const fn refused() -> Option<Outcome> {
    Some(Outcome::Refused(Refusal::Full))
}

pub fn run(id: &str, body: &str) -> Fact {
    Fact::RunStarted {
        vm: name("w1"),
        id: id.into(),
        epoch: Epoch::default(),
        body: Bytes::copy_from_slice(body.as_bytes()),
    }
}

pub fn run_end(id: &str) -> Fact {
    Fact::RunEnded {
        vm: name("w1"),
        id: id.into(),
    }
}

pub fn entry(life: Life) -> Fact {
    Fact::Entry {
        entry: name("e1"),
        life,
    }
}

pub fn listed(leaving: bool) -> Fact {
    Fact::Listed {
        vm: name("w1"),
        leaving,
    }
}

pub const fn stored(version: u64) -> Fact {
    Fact::Stored {
        version: Version(version),
    }
}

pub fn in_force(version: u64) -> Fact {
    Fact::InForce {
        entry: name("e1"),
        version: Version(version),
    }
}

pub fn called(id: &str, action: Action) -> Fact {
    let id = name(id);
    Fact::Called {
        call: Call { id, action },
    }
}

pub fn replied(call: &str, reply: Reply) -> Fact {
    Fact::Replied {
        call: name(call),
        reply,
    }
}

pub fn submit() -> Fact {
    let job = Job {
        name: name("job"),
        team: name("team"),
        kind: name("kind"),
        tasks: 1,
        size: size(1),
        run_time: Ms(1),
        urgent: false,
    };
    called("submit", Action::Submit(job))
}

pub fn cancel() -> Fact {
    called("cancel", Action::Cancel { job: name("job") })
}

pub fn drain(id: &str, leave: bool) -> Fact {
    let vm = name("w1");
    called(id, Action::Drain { vm, leave })
}

pub fn reconfigure(id: &str) -> Fact {
    let action = Action::Reconfigure {
        expected: Version(1),
        document: Document::default(),
        dry_run: false,
    };
    called(id, action)
}

pub const fn configured(version: u64) -> Reply {
    Reply::Configured {
        version: Version(version),
        in_force: Vec::new(),
        pending: Vec::new(),
    }
}

pub const fn store(healthy: bool) -> Fact {
    Fact::Store { healthy }
}

pub fn recorded(ending: Ending) -> Fact {
    Fact::Recorded {
        task: name("job#0"),
        ending,
    }
}

pub fn feasible() -> Fact {
    Fact::Feasible { job: name("job") }
}

pub fn crashed(vm: &str) -> Fact {
    Fact::WorkerCrashed { vm: name(vm) }
}

pub type History = Vec<(u64, Fact)>;

pub fn log(history: History) -> Log {
    let mut log = Log::default();
    for (at, fact) in history {
        log.push(Ms(at), fact);
    }
    log
}
