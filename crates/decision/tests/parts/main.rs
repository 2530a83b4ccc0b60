//! The parts of the control path, each by itself.

mod commit;
mod job;
mod member;
mod record;
mod rollout;
