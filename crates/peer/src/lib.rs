//! Transport between entries.
