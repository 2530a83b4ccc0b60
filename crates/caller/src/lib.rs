//! HTTP server towards callers.
