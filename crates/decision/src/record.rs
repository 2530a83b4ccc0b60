//! Encoding of table rows: a format version, a checksum and the body.

use bytes::BufMut;
use bytes::Bytes;
use bytes::BytesMut;
use quick_error::quick_error;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::config::Document;
use crate::config::Version;
use crate::name::Name;
use crate::operator::Reply;
use crate::piece::Piece;

/// The format that this build writes and the newest that it reads.
pub const FORMAT: u8 = 1;

const HEADER_BYTES: usize = 5;

quick_error! {
    /// Why a row cannot be read. Such a row is never overwritten.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum Error {
        /// The row is shorter than its header.
        Short(bytes: usize) {
            display("the record has only {} bytes", bytes)
        }
        /// The row was written by a newer build.
        Newer(format: u8) {
            display("the record has format {}, the newest known is {}", format, FORMAT)
        }
        /// The format number was never in use.
        Format(format: u8) {
            display("the record has the unknown format {}", format)
        }
        /// The checksum does not match.
        Checksum {
            display("the record's checksum does not match")
        }
        /// The body is not of the expected type.
        Body(reason: String) {
            display("the record's body cannot be decoded: {}", reason)
        }
    }
}

/// The owner of a group; the row's version is the first part of the epoch.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Group {
    /// The owning entry and process, or `None` after a release.
    pub owner: Option<(Name, u64)>,
}

/// A configuration with its version; also a history row.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Config {
    /// The version.
    pub version: Version,
    /// The contents.
    pub document: Document,
}

/// An accepted call, written with its effect.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Call {
    /// The checksum of the action, to detect a second use of the id.
    pub action: u32,
    /// The first result.
    pub reply: Reply,
}

/// Where the pieces of a job are stored.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Index {
    /// Tasks in each piece but the last.
    pub step: u32,
    /// The group of each piece, by piece number.
    pub groups: Vec<Name>,
    /// Whether the job was cancelled.
    pub cancelled: bool,
}

/// A row under `job/<group>/`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Work {
    /// A piece of a job.
    Piece(Piece),
    /// The job was cancelled; deleted once every piece in the group shows it.
    Cancel(Name),
}

/// Encodes a record.
///
/// # Panics
///
/// When the value cannot be serialised, which no record type allows.
#[must_use]
pub fn encode<T: Serialize>(value: &T) -> Bytes {
    let body = rmp_serde::to_vec(value).expect("record types serialise to memory");
    let mut row = BytesMut::with_capacity(HEADER_BYTES + body.len());
    row.put_u8(FORMAT);
    row.put_u32_le(checksum(FORMAT, &body));
    row.put_slice(&body);
    row.freeze()
}

/// Decodes a record.
///
/// # Errors
///
/// When the record is damaged or of a newer format.
pub fn decode<T: DeserializeOwned>(row: &[u8]) -> Result<T, Error> {
    let Some((header, body)) = row.split_first_chunk::<HEADER_BYTES>() else {
        return Err(Error::Short(row.len()));
    };
    let [format, sum @ ..] = *header;
    match format {
        FORMAT => {}
        0 => return Err(Error::Format(format)),
        _ => return Err(Error::Newer(format)),
    }
    if u32::from_le_bytes(sum) != checksum(format, body) {
        return Err(Error::Checksum);
    }
    rmp_serde::from_slice(body).map_err(|reason| Error::Body(reason.to_string()))
}

/// The checksum by which a second use of a call id for another action is detected.
///
/// # Panics
///
/// When the value cannot be serialised, which no action allows.
#[must_use]
pub fn fingerprint<T: Serialize>(value: &T) -> u32 {
    crc32fast::hash(&rmp_serde::to_vec(value).expect("actions serialise to memory"))
}

fn checksum(format: u8, body: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&[format]);
    hasher.update(body);
    hasher.finalize()
}
