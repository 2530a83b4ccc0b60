//! Runs all checks over histories that keep the promises and over histories that break them.

mod broken;
mod facts;
mod kept;
