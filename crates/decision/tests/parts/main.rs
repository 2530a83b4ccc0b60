//! Tests of single parts of the control path.

mod commit;
mod job;
mod member;
mod record;
mod rollout;
