//! The schema of operators' calls, as code generated from `samphiretrail.proto`.

/// The messages, server and client of the package `samphiretrail.v1`.
#[path = "generated/samphiretrail.v1.rs"]
#[rustfmt::skip]
#[allow(
    missing_debug_implementations,
    missing_docs,
    clippy::all,
    clippy::allow_attributes_without_reason,
    clippy::clone_on_ref_ptr,
    clippy::use_self,
    reason = "generated code is not edited"
)]
pub mod v1;
