//! Tests of frames that no sound agent or leader sends.

use std::sync::Arc;

use decision::clock::Ms;
use decision::name::Name;
use scheduler::id;
use scheduler::id::Epoch;
use scheduler::message::Failure;
use scheduler::message::Finding;
use scheduler::message::Heartbeat;
use scheduler::message::Hello;
use scheduler::message::Observation;
use scheduler::message::Order;
use scheduler::message::Outcome;
use scheduler::message::Placement;
use scheduler::message::Report;
use scheduler::message::Watch;

use super::*;

/// Values of a byte that MessagePack reads as lists, maps, texts and numbers of many lengths.
const BYTES: [u8; 12] = [
    0x00, 0x7f, 0x81, 0x9f, 0xbf, 0xc0, 0xc6, 0xcf, 0xdb, 0xdd, 0xdf, 0xff,
];

fn name(raw: &str) -> Name {
    Name::try_from(raw).expect("test names are valid")
}

fn placement() -> Placement {
    Placement::echo(name("w"), Ms(7))
}

fn reports() -> Vec<Report> {
    let observation = Observation {
        worker: name("w"),
        incarnation: Ms(77),
        polled_at: Ms(1),
        running: Some(Vec::new()),
        ended: Vec::new(),
    };
    let failure = Failure {
        worker: name("w"),
        renewal_age: Ms(5),
        is_closed: false,
    };
    vec![
        Report::Hello(Hello {
            entry: name("e"),
            domain: name("d"),
            epoch: Epoch(7),
            known: vec![(name("w"), Ms(5), vec![placement()])],
        }),
        Report::numbering(),
        Report::Polled(observation.clone()),
        Report::Watched(id::Watch(9), Finding::Polled(observation)),
        Report::Watched(id::Watch(9), Finding::PollFailed(failure)),
        Report::Started(placement(), Outcome::Done),
        Report::Config(Arc::from([1, 2, 3].as_slice())),
    ]
}

fn orders() -> Vec<Order> {
    vec![
        Order::Beat(Heartbeat {
            store_age: Ms(3),
            config: 4,
            waiting: vec![(name("q"), 5)],
            full: Vec::new(),
        }),
        Order::Watch(Watch {
            worker: name("w"),
            address: Arc::from("10.0.0.1:1"),
            acknowledged: Some((Ms(77), 5)),
            number: id::Watch(9),
        }),
        Order::Stop(placement()),
        Order::Stage(4, None),
    ]
}

fn written<T: Serialize>(messages: &[T]) -> Vec<u8> {
    let mut bytes = Vec::new();
    smol::block_on(write(&mut bytes, messages)).expect("it can be written");
    bytes
}

fn read_all<T: DeserializeOwned>(mut bytes: &[u8]) -> Result<Vec<T>, Error> {
    smol::block_on(read(&mut bytes))
}

fn assert_odd_frames_are_errors<T: DeserializeOwned + Serialize>(messages: &[T]) {
    let sound = written(messages);
    assert_eq!(
        read_all::<T>(&sound).expect("it is sound").len(),
        messages.len()
    );
    for length in 0..sound.len() {
        assert!(read_all::<T>(&sound[..length]).is_err(), "{length}");
    }
    for position in 0..sound.len() {
        for byte in BYTES {
            let mut odd = sound.clone();
            odd[position] = byte;
            // Some of them are sound frames with another meaning.
            drop(read_all::<T>(&odd));
        }
    }
    let mut long = sound;
    long[..4].copy_from_slice(&u32::MAX.to_be_bytes());
    assert!(read_all::<T>(&long).is_err());
}

/// One malformed frame took a process down.
#[test]
fn a_malformed_frame_is_an_error_and_ends_no_process() {
    assert_odd_frames_are_errors(&reports());
    assert_odd_frames_are_errors(&orders());
}
