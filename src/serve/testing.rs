//! What the tests of several modules share.

use std::net::SocketAddr;

use decision::clock::Ms;
use decision::name::Name;

use super::options::Options;

fn name(raw: &str) -> Name {
    Name::try_from(raw).expect("test names are valid")
}

/// Returns the settings of the entry `e0` with a store at this address.
pub(super) fn options(store: SocketAddr) -> Options {
    let unused: SocketAddr = "127.0.0.1:9".parse().expect("an address");
    Options {
        name: name("e0"),
        failure_domain: name("d"),
        processor_share: 1.0,
        log: log::LevelFilter::Off,
        customer: unused,
        ready: unused,
        peer: unused,
        metrics: None,
        store,
        advice: None,
        row_bytes: 65_536,
        lease: Ms(10_000),
        retention: Ms(120_000),
        harm: Ms(5_000),
        stop: Ms(6_000),
    }
}
