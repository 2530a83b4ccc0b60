//! Tests of the command line through the binary.

use std::fs;
use std::path::Path;
use std::process::Command;
use std::process::Output;

use samphiretrail::cli;
use samphiretrail::cli::Parsed;

fn run(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_samphiretrail"))
        .args(arguments)
        .output()
        .expect("the binary can be started")
}

/// Guards against unintended changes of help texts.
#[test]
fn help_texts() {
    let commands = [
        "",
        "entry",
        "serve",
        "check",
        "demo",
        "submit",
        "cancel",
        "drain",
        "reconfigure",
        "status",
        "timeline",
    ];
    for command in commands {
        let words = ["samphiretrail", command, "--help"].into_iter();
        let words = words.filter(|word| !word.is_empty()).map(Into::into);
        let Ok(Parsed::Help(text)) = cli::parse(words) else {
            panic!("no help on {command:?}");
        };
        let name = if command.is_empty() {
            "program"
        } else {
            command
        };
        insta::assert_snapshot!(format!("help_{name}"), text);
    }
}

/// Guards against invalid arguments that are accepted, and against other exit codes than 2.
#[test]
fn usage_errors() {
    let target = ["--entry", "127.0.0.1:1"];
    let cases: Vec<Vec<&str>> = vec![
        vec![],
        vec!["bogus"],
        vec!["--bogus"],
        vec!["entry"],
        vec!["entry", "--settings"],
        vec!["entry", "--settings", "a", "b"],
        vec!["check", "--file", "a"],
        vec!["cancel", "job-1"],
        vec!["cancel", "--entry", "localhost", "job-1"],
        [&["cancel"], target.as_slice()].concat(),
        [&["cancel", "a b"], target.as_slice()].concat(),
        [&["cancel", "a", "b"], target.as_slice()].concat(),
        [&["drain", "vm-1", "--call", ""], target.as_slice()].concat(),
        [
            &["submit", "--job", "a", "--team", "b", "--kind", "c"],
            target.as_slice(),
        ]
        .concat(),
        [&["submit", "--tasks", "-1"], target.as_slice()].concat(),
        [&["reconfigure", "--expected", "x"], target.as_slice()].concat(),
        [&["reconfigure", "--expected", "1"], target.as_slice()].concat(),
        [&["timeline", "--kind", "bogus"], target.as_slice()].concat(),
        [&["status", "--bogus"], target.as_slice()].concat(),
    ];
    let mut report = String::new();
    for arguments in cases {
        let output = run(&arguments);
        assert_eq!(output.status.code(), Some(2), "{arguments:?}");
        assert!(output.stdout.is_empty(), "{arguments:?}");
        let text = String::from_utf8_lossy(&output.stderr);
        report += &format!("$ {}\n{text}", arguments.join(" "));
    }
    insta::assert_snapshot!(report);
}

/// Guards against a command that exits with success although the entry is unreachable.
#[test]
fn an_unreachable_entry_is_a_failure() {
    let unused = std::net::TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr());
    let unused = unused.expect("a loopback port is free").to_string();
    let output = run(&["status", "--entry", &unused]);
    assert_eq!(output.status.code(), Some(1));
    let text = String::from_utf8_lossy(&output.stderr);
    assert!(text.contains(&unused), "{text}");
}

/// Guards against example files that the program itself refuses.
#[test]
fn the_examples_are_accepted() {
    let output = run(&["check", "--settings", "docs/example.ini"]);
    assert_eq!(output.status.code(), Some(0));
    assert_eq!(output.stdout, b"ok entry=entry-1\n");
    let text = fs::read_to_string("docs/example.json").expect("the example exists");
    let document: decision::config::Document =
        serde_json::from_str(&text).expect("the example is a configuration");
    decision::config::Checked::try_from(document).expect("the document is valid");
}

/// Guards against a settings error without its place, or with another exit code than 2.
#[test]
fn a_settings_error_names_its_place() {
    let file = Path::new(env!("CARGO_TARGET_TMPDIR")).join("wrong.ini");
    fs::write(&file, "[entry]\nname = entry-1\nnane = entry-1\n")
        .expect("the scratch file can be written");
    for command in ["check", "entry"] {
        let name = file.display().to_string();
        let output = run(&[command, "--settings", &name]);
        assert_eq!(output.status.code(), Some(2), "{command}");
        let expected = format!("{name}:3: nane: unknown key\n");
        assert_eq!(
            String::from_utf8_lossy(&output.stderr),
            expected,
            "{command}"
        );
    }
}
