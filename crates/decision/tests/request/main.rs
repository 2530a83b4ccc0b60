//! Tests of the request path's state machine.

mod basics;
mod fixture;
mod forwarding;
mod model;
mod properties;
