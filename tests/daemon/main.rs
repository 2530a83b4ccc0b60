//! Whole entries, within this process and as processes of their own.

mod common;
mod entry;
mod process;
