//! Tests of the configuration in force.

use decision::clock::Ms;
use decision::config::Document;
use decision::config::Service;
use decision::config::Version;
use decision::name::Name;
use decision::record;
use decision::record::Config;
use decision::resource::Size;
use decision::rollout;
use decision::rollout::Rollout;

fn document(services: &[(&str, u32)]) -> Document {
    let service = |(name, queue): &(&str, u32)| Service {
        name: Name::try_from(*name).unwrap(),
        reserved: Size::ZERO,
        queue: *queue,
        deadline: Ms(1_000),
        attempt: Ms(500),
    };
    Document {
        services: services.iter().map(service).collect(),
        ..Document::default()
    }
}

fn row(version: u64) -> bytes::Bytes {
    record::encode(&Config {
        version: Version(version),
        document: Document::default(),
    })
}

// Guards against a configuration that reverts when versions arrive out of order.
#[test]
fn versions_only_rise() {
    let mut rollout = Rollout::default();
    assert!(!rollout.is_ready());
    let steps = [
        (0, true),
        (2, true),
        (1, false),
        (2, false),
        (5, true),
        (4, false),
    ];
    let mut highest = 0;
    for (version, changed) in steps {
        assert_eq!(rollout.apply_row(Some(&row(version))), changed, "{version}");
        highest = highest.max(version);
        assert_eq!(rollout.version(), Version(highest));
    }
    assert!(!rollout.apply(Version(3), Document::default()));
    assert!(rollout.apply(Version(6), Document::default()));
    assert!(!rollout.apply_row(None));
    assert_eq!(rollout.version(), Version(6));
}

// Guards against new work that is accepted after a pause under a configuration that may be old.
#[test]
fn a_pause_requires_a_new_read() {
    let mut rollout = Rollout::default();
    rollout.apply_row(Some(&row(1)));
    assert!(rollout.is_ready());
    rollout.require_read();
    assert!(!rollout.is_ready());
    // A pushed configuration may have been sent before the pause.
    assert!(rollout.apply(Version(2), Document::default()));
    assert!(!rollout.is_ready());
    assert!(rollout.begin_read(Ms(1)));
    rollout.apply_row(Some(&row(2)));
    assert!(rollout.is_ready());
}

// Guards against a damaged row that replaces or removes the configuration in force.
#[test]
fn damage_keeps_the_version_in_force() {
    let mut rollout = Rollout::default();
    rollout.apply_row(Some(&row(3)));
    let mut damaged = row(4).to_vec();
    damaged[6] ^= 1;
    assert!(!rollout.apply_row(Some(&damaged)));
    assert_eq!(rollout.version(), Version(3));
    assert_eq!(rollout.decode_error(), Some(&record::Error::Checksum));
}

// Guards against a comparison that omits a change.
#[test]
fn differences_name_each_change() {
    let old = document(&[("kept", 1), ("changed", 1), ("removed", 1)]);
    let mut new = document(&[("kept", 1), ("changed", 2), ("added", 1)]);
    new.limits.retries += 1;
    assert_eq!(
        rollout::difference(&old, &new),
        [
            "service changed: changed",
            "service added: added",
            "service removed: removed",
            "limit retries: 10 -> 11",
        ]
    );
    assert!(rollout::difference(&old, &old).is_empty());
}
