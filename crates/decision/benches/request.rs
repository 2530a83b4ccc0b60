//! Benchmarks of the request path: the choice of targets, requests, tickets and memory use.

use std::fs;
use std::hint::black_box;
use std::sync::Arc;

use bytes::Bytes;
use criterion::Criterion;
use decision::clock::Ms;
use decision::config::Checked;
use decision::config::Document;
use decision::config::Service;
use decision::control::Identity;
use decision::name::Name;
use decision::request::Action;
use decision::request::Answer;
use decision::request::Call;
use decision::request::Ending;
use decision::request::Event;
use decision::request::Machine;
use decision::request::Outcome;
use decision::request::Target;
use decision::resource::Size;
use decision::route::Choice;
use decision::route::Criteria;
use decision::route::Table;
use decision::step::Step;
use decision::ticket::Ledger;
use decision::ticket::Ticket;
use decision::worker::Epoch;

const PAGE_BYTES: u64 = 4_096;
const SAMPLE_COUNT: u64 = 400_000;

fn name(raw: &str) -> Name {
    Name::try_from(raw).expect("bench names are valid")
}

fn targets(count: usize) -> Vec<Target> {
    let target = |index: usize| Target {
        vm: name(&format!("vm-{index}")),
        epoch: Epoch { row: 1, step: 0 },
        domain: name(["a", "b", "c"][index % 3]),
        slots: 8,
        busy: 0,
        snapshot: None,
        leaving: false,
        slowdown: 100 + (index % 7) as u32 * 10,
    };
    (0..count).map(target).collect()
}

/// Creates a table in which 5 of 8 slots are in use.
fn table(count: usize) -> Table {
    let mut table = Table::new(name("a"));
    table.update(targets(count));
    for _ in 0..count * 5 {
        let choice = table
            .choose(Ms(0), &Criteria::default())
            .expect("a slot is free");
        table.acquire(choice, false);
    }
    table
}

fn machine(vms: usize, queue: u32) -> Machine {
    let mut machine = Machine::new(&Identity {
        entry: name("e1"),
        incarnation: 1,
        address: ([127, 0, 0, 1], 1).into(),
        domain: name("a"),
        seeds: Vec::new(),
        seed: 1,
    });
    let service = Service {
        name: name("orders"),
        reserved: Size::default(),
        queue,
        deadline: Ms(60_000),
        attempt: Ms(1_000),
    };
    let document = Document {
        services: vec![service],
        ..Document::default()
    };
    let config = Arc::new(Checked::try_from(document).expect("the bench configuration is valid"));
    machine.step(Ms(0), Event::Config(config));
    machine.step(Ms(0), Event::Targets(targets(vms)));
    machine
}

fn call(id: u64, ticket: Option<Ticket>) -> Call {
    Call {
        id,
        service: name("orders"),
        kind: name("preview"),
        team: name("shop"),
        repeatable: ticket.is_none(),
        ticket,
        deadline: Ms(60_000),
        forwarded: false,
        body: Bytes::new(),
    }
}

fn answer() -> Ending {
    Ending::Answered(Answer {
        status: 200,
        body: Bytes::new(),
    })
}

/// Drives one request from arrival to reply. Returns the number of resulting actions.
fn serve(machine: &mut Machine, call: Call) -> usize {
    let now = Ms(call.id / 1_000);
    let actions = machine.step(now, Event::Arrived(call));
    let Some(Action::Send { attempt, .. }) = actions.first() else {
        return 0;
    };
    machine.step(now, Event::Finished(*attempt, answer())).len()
}

fn bench_choice(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("choice");
    for count in [65, 1_000, 25_000] {
        let mut table = table(count);
        group.bench_function(format!("choose/{count}"), |bencher| {
            bencher.iter(|| black_box(&table).choose(Ms(0), &Criteria::default()));
        });
        let mut acquired: Vec<Choice> = Vec::new();
        group.bench_function(format!("choose+take+release/{count}"), |bencher| {
            bencher.iter(|| {
                let choice = table
                    .choose(Ms(0), &Criteria::default())
                    .expect("a slot is free");
                table.acquire(choice, false);
                acquired.push(choice);
                if acquired.len() > count {
                    let oldest = acquired.swap_remove(count / 2);
                    table.release(oldest.id, false);
                }
            });
        });
    }
    group.finish();
}

fn bench_request(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("request");
    for count in [65, 25_000] {
        let mut id = 0;
        let mut repeatable = machine(count, 100);
        group.bench_function(format!("repeatable/{count}"), |bencher| {
            bencher.iter(|| {
                id += 1;
                serve(&mut repeatable, call(id, None))
            });
        });
    }
    let mut id = 0;
    let mut orders = machine(65, 100);
    group.bench_function("order with its ticket/65", |bencher| {
        bencher.iter(|| {
            id += 1;
            let ticket = orders.mint(Ms(id / 1_000), 1).pop();
            serve(&mut orders, call(id, ticket))
        });
    });
    group.finish();
}

fn bench_ticket(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("ticket");
    let mut ledger = Ledger::new(name("e1"), 1, 5);
    group.bench_function("mint", |bencher| {
        bencher.iter(|| ledger.mint(Ms(0), 1));
    });
    let mut ledger = Ledger::new(name("e1"), 1, 5);
    let mut now = Ms(0);
    group.bench_function("mint+claim+settle", |bencher| {
        bencher.iter(|| {
            now += Ms(1);
            let ticket = ledger.mint(now, 1).remove(0);
            ledger.claim(now, &ticket, 1);
            ledger.settle(now, ticket.sequence, Outcome::Unknown);
        });
    });
    group.finish();
}

fn resident() -> u64 {
    let pages = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = pages.split(' ').nth(1).and_then(|pages| pages.parse().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

/// Prints the growth of resident memory divided by the number of items that caused it.
fn report_memory(label: &str, fill: impl FnOnce()) {
    let before = resident();
    fill();
    let bytes = resident().saturating_sub(before) / SAMPLE_COUNT;
    println!("memory/{label}: {bytes} B each, {SAMPLE_COUNT} kept");
}

fn measure_memory() {
    let mut waiting = machine(0, 100_000);
    let mut waiting_more: Vec<Machine> = (0..3).map(|_| machine(0, 100_000)).collect();
    report_memory("waiting request", || {
        for id in 0..SAMPLE_COUNT / 4 {
            waiting.step(Ms(0), Event::Arrived(call(id, None)));
            for machine in &mut waiting_more {
                machine.step(Ms(0), Event::Arrived(call(id, None)));
            }
        }
    });
    let mut in_flight = machine(SAMPLE_COUNT as usize / 8, 100);
    report_memory("request in flight", || {
        for id in 0..SAMPLE_COUNT {
            in_flight.step(Ms(0), Event::Arrived(call(id, None)));
        }
    });
    let mut ledger = Ledger::new(name("e1"), 1, 5);
    report_memory("issued ticket", || {
        for _ in 0..SAMPLE_COUNT {
            ledger.mint(Ms(0), 1);
        }
    });
    let tickets = ledger.mint(Ms(0), SAMPLE_COUNT as usize);
    report_memory("used ticket with its outcome", || {
        for ticket in &tickets {
            ledger.claim(Ms(0), ticket, 1);
            ledger.settle(Ms(0), ticket.sequence, Outcome::Unknown);
        }
    });
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    bench_choice(&mut criterion);
    bench_request(&mut criterion);
    bench_ticket(&mut criterion);
    measure_memory();
    criterion.final_summary();
}
