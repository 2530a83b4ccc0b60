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

/// The record format that this build writes, and the newest that it reads.
pub const FORMAT: u8 = 1;

const HEADER_BYTES: usize = 5;

quick_error! {
    /// The reason why a row cannot be decoded. Such a row is never overwritten.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum Error {
        /// The row is shorter than its header.
        Short(bytes: usize) {
            display("the record has only {} bytes, fewer than its header", bytes)
        }
        /// The row has a newer format, which only a newer build can have written.
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

/// The owner of a group. The version of the row is the first part of the owner's epoch.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Group {
    /// The owning entry and its incarnation, or `None` after a release.
    pub owner: Option<(Name, u64)>,
}

/// A configuration with its version, as stored in the row `config` and in the history rows.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Config {
    /// The version, one higher than that of the configuration before.
    pub version: Version,
    /// The document, which was checked before it was stored.
    pub document: Document,
}

/// An accepted call, stored in the same transaction as its effect.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Call {
    /// The checksum of the action, to detect that the id is used again for another action.
    pub action: u32,
    /// The reply to the first call with this id, which is also given to repeated calls.
    pub reply: Reply,
}

/// The index of a job: the groups to which its pieces are assigned.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Index {
    /// The number of tasks in each piece except the last, which may have fewer.
    pub step: u32,
    /// The group of each piece, by piece number.
    pub groups: Vec<Name>,
    /// Whether the job was cancelled.
    pub cancelled: bool,
}

/// The value of a row under `job/<group>/`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Work {
    /// A piece of a job that is assigned to the group.
    Piece(Piece),
    /// The cancellation of this job. The row is deleted once the group has no open piece of the job
    /// left.
    Cancel(Name),
}

/// Encodes a record with its header.
///
/// # Panics
///
/// When the value cannot be serialised, which no record type allows.
#[must_use]
pub fn encode<T: Serialize>(value: &T) -> Bytes {
    let body = rmp_serde::to_vec(value).expect("serialising a record to memory succeeds");
    let mut row = BytesMut::with_capacity(HEADER_BYTES + body.len());
    row.put_u8(FORMAT);
    row.put_u32_le(checksum(FORMAT, &body));
    row.put_slice(&body);
    row.freeze()
}

/// Decodes a record and verifies its header.
///
/// # Errors
///
/// When the record is damaged, has an unknown format or is of another type.
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

/// The checksum that shows whether two calls with the same id have the same action.
///
/// # Panics
///
/// When the value cannot be serialised, which no action allows.
#[must_use]
pub fn fingerprint<T: Serialize>(value: &T) -> u32 {
    crc32fast::hash(&rmp_serde::to_vec(value).expect("serialising an action to memory succeeds"))
}

fn checksum(format: u8, body: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&[format]);
    hasher.update(body);
    hasher.finalize()
}
