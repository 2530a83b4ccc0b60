//! Tests of the request path's state machine.

mod basics;
mod fixture;
mod model;
mod properties;
