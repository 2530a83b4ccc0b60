//! Validated names as immutable shared strings.

use std::borrow::Borrow;
use std::fmt;
use std::ops::Deref;
use std::sync::Arc;

use quick_error::quick_error;
use serde::Deserialize;
use serde::Serialize;

const MAX_BYTES: usize = 128;

quick_error! {
    /// An error of validating a name.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum Error {
        /// The string is empty.
        Empty {
            display("a name is empty")
        }
        /// The string has this many bytes, which is over the limit.
        Long(bytes: usize) {
            display("a name has {} bytes, at most {} are allowed", bytes, MAX_BYTES)
        }
        /// The string contains a character outside `a-z A-Z 0-9 . _ - : #`.
        Character(found: char) {
            display("a name holds the character {:?}", found)
        }
    }
}

/// A validated name, which is cheap to clone and compared by content.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(try_from = "String", into = "String")]
pub struct Name(Arc<str>);

impl TryFrom<&str> for Name {
    type Error = Error;

    fn try_from(raw: &str) -> Result<Self, Error> {
        if raw.is_empty() {
            return Err(Error::Empty);
        }
        if raw.len() > MAX_BYTES {
            return Err(Error::Long(raw.len()));
        }
        let allowed = |c: &char| c.is_ascii_alphanumeric() || "._-:#".contains(*c);
        match raw.chars().find(|c| !allowed(c)) {
            Some(found) => Err(Error::Character(found)),
            None => Ok(Self(Arc::from(raw))),
        }
    }
}

impl TryFrom<String> for Name {
    type Error = Error;

    fn try_from(raw: String) -> Result<Self, Error> {
        Self::try_from(raw.as_str())
    }
}

impl From<Name> for String {
    fn from(name: Name) -> Self {
        name.0.as_ref().into()
    }
}

impl Borrow<str> for Name {
    fn borrow(&self) -> &str {
        &self.0
    }
}

impl Deref for Name {
    type Target = str;

    fn deref(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
