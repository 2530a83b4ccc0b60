//! The baselines that the current decisions are compared with.

pub mod place;
pub mod request;

pub use self::place::Board;
