//! Tests of the placement boards with fake workers.

mod differ;
mod evict;
mod fake;
mod faults;
