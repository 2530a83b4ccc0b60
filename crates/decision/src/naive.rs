//! Simple baselines for the decision logic, which experiments compare with the current one.

pub mod place;
pub mod request;

pub use self::place::Board;
