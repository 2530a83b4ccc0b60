//! The samphiretrail binary.

fn main() {}
