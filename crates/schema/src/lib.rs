//! The operators' schema and its generated code.
