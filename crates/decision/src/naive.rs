//! The baselines that the current decisions are compared with.

pub mod request;
