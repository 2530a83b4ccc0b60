//! Tests of the placement board over fake workers.

mod differ;
mod evict;
mod fake;
mod faults;
