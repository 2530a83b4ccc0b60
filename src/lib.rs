//! The samphiretrail daemon and its command line.

mod arguments;
pub mod cli;
pub mod cmd;
pub mod daemon;
pub mod demo;
pub mod journal;
pub mod logs;
pub mod metrics;
pub mod serve;
pub mod settings;
