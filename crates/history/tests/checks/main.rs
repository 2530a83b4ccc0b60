//! Runs all checks over histories that keep the invariants and histories that violate them.

mod broken;
mod facts;
mod kept;
