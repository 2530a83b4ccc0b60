//! Tests of whole entries, within this process and as separate processes.

mod common;
mod entry;
mod process;
