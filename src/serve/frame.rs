//! Frames between the leader and its agents: the length in 4 big-endian bytes, then a list of
//! messages in MessagePack.

use serde::Serialize;
use serde::de::DeserializeOwned;
use smol::io::AsyncRead;
use smol::io::AsyncReadExt;
use smol::io::AsyncWrite;
use smol::io::AsyncWriteExt;

use super::Error;

/// The greatest accepted length of a frame, without its header.
const MAX_BYTES: usize = 4 << 20;

/// Writes all messages as one frame.
pub(super) async fn write<T: Serialize>(
    stream: &mut (impl AsyncWrite + Unpin),
    messages: &[T],
) -> Result<(), Error> {
    let mut bytes = vec![0; 4];
    rmp_serde::encode::write(&mut bytes, messages)
        .map_err(|error| Error::Peer(error.to_string()))?;
    let length = bytes.len() - 4;
    let header = u32::try_from(length).map_err(|error| Error::Peer(error.to_string()))?;
    bytes[..4].copy_from_slice(&header.to_be_bytes());
    stream
        .write_all(&bytes)
        .await
        .map_err(|error| Error::Peer(error.to_string()))
}

/// Reads one frame and returns its messages.
pub(super) async fn read<T: DeserializeOwned>(
    stream: &mut (impl AsyncRead + Unpin),
) -> Result<Vec<T>, Error> {
    let peer = |error: std::io::Error| Error::Peer(error.to_string());
    let mut header = [0; 4];
    stream.read_exact(&mut header).await.map_err(peer)?;
    let length = u32::from_be_bytes(header) as usize;
    if length > MAX_BYTES {
        return Err(Error::Peer(format!(
            "frame of {length} bytes is longer than {MAX_BYTES} bytes"
        )));
    }
    let mut bytes = vec![0; length];
    stream.read_exact(&mut bytes).await.map_err(peer)?;
    rmp_serde::from_slice(&bytes).map_err(|error| Error::Peer(error.to_string()))
}

#[cfg(test)]
mod tests;
