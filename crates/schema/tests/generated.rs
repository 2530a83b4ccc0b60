//! Guards against committed code that no longer matches the schema.

use std::env;
use std::fs;
use std::path::Path;

const NAME: &str = "samphiretrail.v1.rs";

/// Generates the code and compares it with the committed file. `UPDATE_GENERATED=1` replaces the
/// committed file first.
#[test]
fn committed_code_matches_the_schema() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let committed = root.join("src/generated").join(NAME);
    let scratch = Path::new(env!("CARGO_TARGET_TMPDIR"));
    let files = protox::compile(["samphiretrail.proto"], [root]).expect("the schema compiles");
    tonic_prost_build::configure()
        .build_transport(false)
        .out_dir(scratch)
        .compile_fds(files)
        .expect("the code is generated");
    let fresh = fs::read_to_string(scratch.join(NAME)).expect("the generator wrote the file");
    if env::var_os("UPDATE_GENERATED").is_some() {
        fs::write(&committed, &fresh).expect("the committed file can be replaced");
    }
    let stored = fs::read_to_string(&committed).expect("the committed file can be read");
    assert!(
        stored == fresh,
        "{NAME} is stale: run `UPDATE_GENERATED=1 cargo test -p schema`"
    );
}
