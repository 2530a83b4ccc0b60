//! Frames: a version byte followed by an encoded message.

use decision::peer::Envelope;
use decision::timeline::Event;
use decision::timeline::Filter;
use quick_error::quick_error;
use serde::Deserialize;
use serde::Serialize;

/// The only frame version that this process supports.
pub const VERSION: u8 = 1;
/// The maximum size of a frame in bytes, including the version.
pub const MAX_BYTES: usize = 1 << 20;

quick_error! {
    /// An error of encoding or decoding a frame.
    #[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
    pub enum Error {
        /// The frame has no bytes, so the version is missing.
        Empty {
            display("the frame is empty")
        }
        /// The frame exceeds [`MAX_BYTES`].
        Long(bytes: usize) {
            display("the frame has {} bytes, at most {} are allowed", bytes, MAX_BYTES)
        }
        /// The frame has a version that is not supported.
        Version(found: u8) {
            display("the frame has version {}, version {} is supported", found, VERSION)
        }
        /// The contents cannot be encoded or decoded.
        Contents(reason: String) {
            display("the frame cannot be read: {}", reason)
        }
    }
}

/// A unit of communication between entries: a message of the decision logic, or a timeline query.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Frame {
    /// A message of the decision logic in its envelope.
    Message(Box<Envelope>),
    /// Queries the recent timeline events of the receiver.
    Timeline(Filter),
    /// The answer to [`Frame::Timeline`].
    Events(Vec<Event>),
    /// The receiver has no answer to the message.
    Silent,
}

/// Encodes a frame with its version.
///
/// # Errors
///
/// Returns an error if the message cannot be encoded or the frame would exceed [`MAX_BYTES`].
pub fn encode(frame: &Frame) -> Result<Vec<u8>, Error> {
    let mut bytes = vec![VERSION];
    rmp_serde::encode::write(&mut bytes, frame)
        .map_err(|error| Error::Contents(error.to_string()))?;
    if bytes.len() > MAX_BYTES {
        return Err(Error::Long(bytes.len()));
    }
    Ok(bytes)
}

/// Decodes a frame.
///
/// # Errors
///
/// Returns an error if the bytes are not a frame of the supported version within [`MAX_BYTES`].
pub fn decode(bytes: &[u8]) -> Result<Frame, Error> {
    if bytes.len() > MAX_BYTES {
        return Err(Error::Long(bytes.len()));
    }
    match bytes {
        [] => Err(Error::Empty),
        [VERSION, rest @ ..] => {
            rmp_serde::from_slice(rest).map_err(|error| Error::Contents(error.to_string()))
        }
        [found, ..] => Err(Error::Version(*found)),
    }
}
