//! Valid and invalid settings files.

use std::fs;
use std::path::Path;
use std::time::Duration;

use samphiretrail::serve::options::Options;
use samphiretrail::settings::Error;
use samphiretrail::settings::Limits;
use samphiretrail::settings::Settings;
use samphiretrail::settings::Times;

const VALID: &str = "[entry]
name = entry-1
failure_domain = zone-a
[listen]
caller = 127.0.0.1:1
operator = 127.0.0.1:2
peer = 127.0.0.1:3
[platform]
table = 127.0.0.1:4
objects = 127.0.0.1:5
vms = 127.0.0.1:6
";

/// Guards against defaults that differ from the documented ones.
#[test]
fn absent_keys_have_defaults() {
    let settings = Settings::parse("good.ini", VALID).expect("the settings are valid");
    assert_eq!(settings.entry.seeds, []);
    assert_eq!(settings.entry.log, log::LevelFilter::Info);
    assert_eq!(settings.limits, Limits::default());
    assert_eq!(settings.times, Times::default());
    assert_eq!(settings.times.stop, Duration::from_millis(20_000));
}

/// Guards against wrong settings that are accepted, or whose error has no place or reason.
#[test]
fn errors() {
    let replaced = |from: &str, to: &str| VALID.replace(from, to);
    let appended = |text: &str| format!("{VALID}{text}");
    let cases = [
        ("empty file", String::new()),
        (
            "key before any section",
            appended("").replace("[entry]\n", ""),
        ),
        ("unknown section", appended("[time]\n")),
        ("repeated section", appended("[entry]\n")),
        (
            "unknown key",
            replaced("[listen]", "[listen]\ncallers = 127.0.0.1:1"),
        ),
        ("key of another section", appended("[times]\nthreads = 1\n")),
        ("repeated key", replaced("[listen]", "name = b\n[listen]")),
        ("missing key", replaced("failure_domain = zone-a\n", "")),
        (
            "keys of a missing section",
            replaced("[platform]\n", "").replace("table", "; table"),
        ),
        ("name with a space", replaced("= entry-1", "= entry 1")),
        ("empty name", replaced("= entry-1", "=")),
        (
            "long name",
            replaced("= entry-1", &format!("= {}", "a".repeat(129))),
        ),
        (
            "address without a port",
            replaced("127.0.0.1:1", "127.0.0.1"),
        ),
        ("host name", replaced("127.0.0.1:1", "localhost:1")),
        (
            "port out of range",
            replaced("127.0.0.1:1", "127.0.0.1:65536"),
        ),
        (
            "peer on all addresses",
            replaced("127.0.0.1:3", "0.0.0.0:3"),
        ),
        ("platform port 0", replaced("127.0.0.1:4", "127.0.0.1:0")),
        (
            "seed without a port",
            replaced("[listen]", "seeds = 127.0.0.1:9, x\n[listen]"),
        ),
        (
            "unknown log level",
            replaced("[listen]", "log = loud\n[listen]"),
        ),
        ("no threads", appended("[limits]\nthreads = 0\n")),
        (
            "absurd threads",
            appended("[limits]\nthreads = 99999999999\n"),
        ),
        ("negative time", appended("[times]\nstop_ms = -1\n")),
        ("absurd time", appended("[times]\nstop_ms = 3600001\n")),
        ("time with a unit", appended("[times]\nstop_ms = 20s\n")),
        ("line without a value", appended("[times]\nstop_ms\n")),
        ("unclosed section", appended("[times\n")),
    ];
    let mut report = String::new();
    for (name, text) in cases {
        match Settings::parse("wrong.ini", &text) {
            Ok(_) => report += &format!("{name}: ACCEPTED\n"),
            Err(error) => report += &format!("{name}: {error}\n"),
        }
    }
    assert!(!report.contains("ACCEPTED"), "{report}");
    insta::assert_snapshot!(report);
}

/// Guards against files that cannot be read as text.
#[test]
fn a_file_that_is_not_text_is_refused() {
    let file = Path::new(env!("CARGO_TARGET_TMPDIR")).join("binary.ini");
    fs::write(&file, b"[entry]\nname = \xff\xfe\n").expect("the scratch file can be written");
    let name = file.display().to_string();
    let expected = Error::At(name, 2, "file".into(), "not valid UTF-8".into());
    assert_eq!(Settings::load(&file), Err(expected));
    let missing = Path::new(env!("CARGO_TARGET_TMPDIR")).join("no-such.ini");
    let error = Settings::load(&missing).expect_err("there is no such file");
    assert!(
        error.to_string().contains("no-such.ini:0: file: "),
        "{error}"
    );
}

const VALID_SERVE: &str = "[entry]\nname = a\nfailure_domain = z\n[listen]\n\
    customer = 10.0.0.1:1\nready = 10.0.0.1:2\npeer = 10.0.0.1:3\n[platform]\n\
    store = 10.0.0.9:4\n[bounds]\nlease_ms = 6000\nretention_s = 120\nharm_ms = 4000\n\
    stop_s = 6\n";

/// Guards against settings of `serve` that are misread, or whose error has no place or reason.
#[test]
fn settings_of_serve_are_checked_with_their_place() {
    let options = Options::parse("f", VALID_SERVE).expect("these settings are valid");
    assert_eq!(options.retention.0, 120_000);
    assert_eq!(options.row_bytes, 65_536);
    let larger = VALID_SERVE.replace("[bounds]", "row_bytes = 131072\n[bounds]");
    let options = Options::parse("f", &larger).expect("these settings are valid");
    assert_eq!(options.row_bytes, 131_072);
    let cases = [
        (
            "[bounds]",
            "row_bytes = 10\n[bounds]",
            "f:10: row_bytes: must be a number from 1024 to 1073741824",
        ),
        (
            "lease_ms = 6000",
            "lease_ms = 0",
            "f:11: lease_ms: must be a number from 1 to 3600000",
        ),
        (
            "peer = 10.0.0.1:3",
            "peer = x",
            "f:7: peer: must be an IP address and a port",
        ),
        ("stop_s = 6", "stops = 6", "f:14: stops: unknown key"),
        (
            "store = 10.0.0.9:4",
            "",
            "f:8: store: missing in section platform",
        ),
    ];
    for (old, new, expected) in cases {
        let error = Options::parse("f", &VALID_SERVE.replace(old, new)).expect_err(new);
        assert_eq!(error.to_string(), expected);
    }
}
