//! Checks recorded histories against the promises.
