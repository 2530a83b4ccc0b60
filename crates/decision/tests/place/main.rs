//! Tests of the placement board over fake workers.

mod evict;
mod fake;
mod faults;
