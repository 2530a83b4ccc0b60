//! HTTP client towards targets.
