//! Measures the decision logic in virtual time.

fn main() {}
