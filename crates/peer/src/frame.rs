//! Frames: a version byte and a message.

use decision::peer::Envelope;
use decision::timeline::Event;
use decision::timeline::Filter;
use quick_error::quick_error;
use serde::Deserialize;
use serde::Serialize;

/// The version that this process speaks.
pub const VERSION: u8 = 1;
/// The longest frame in bytes, version included.
pub const MAX_BYTES: usize = 1 << 20;

quick_error! {
    /// Why bytes are not a frame, or a message does not fit into one.
    #[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
    pub enum Error {
        /// There is not even a version.
        Empty {
            display("the frame is empty")
        }
        /// The frame is over the limit.
        Long(bytes: usize) {
            display("the frame has {} bytes, at most {} are allowed", bytes, MAX_BYTES)
        }
        /// The version is not spoken here.
        Version(found: u8) {
            display("the frame has version {}, version {} is spoken", found, VERSION)
        }
        /// The contents are not a message of this version.
        Contents(reason: String) {
            display("the frame cannot be read: {}", reason)
        }
    }
}

/// What one entry sends another: a message of the decision logic, or a read of the timeline.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Frame {
    /// A message and its envelope.
    Message(Box<Envelope>),
    /// Asks for the recent timeline events of the receiver.
    Timeline(Filter),
    /// The events asked for.
    Events(Vec<Event>),
    /// The receiver has no answer to the message.
    Silent,
}

/// The bytes of a frame.
///
/// # Errors
///
/// When the frame would be over the limit.
pub fn encode(frame: &Frame) -> Result<Vec<u8>, Error> {
    let mut bytes = vec![VERSION];
    rmp_serde::encode::write(&mut bytes, frame)
        .map_err(|error| Error::Contents(error.to_string()))?;
    if bytes.len() > MAX_BYTES {
        return Err(Error::Long(bytes.len()));
    }
    Ok(bytes)
}

/// The frame that the bytes hold.
///
/// # Errors
///
/// When they are not a frame of the version spoken here.
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
