//! Tests of the state machine of the request path.

mod basics;
mod fixture;
mod forwarding;
mod model;
mod properties;
