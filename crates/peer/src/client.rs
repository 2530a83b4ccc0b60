//! The client that sends frames to other entries.

use std::net::SocketAddr;
use std::time::Duration;

use http::Request;
use http::StatusCode;
use http_body_util::Full;
use link::pool;
use link::pool::Pool;
use quick_error::quick_error;

use crate::frame;
use crate::frame::Frame;

quick_error! {
    /// An error of a frame that got no valid answer.
    #[derive(Debug)]
    pub enum Error {
        /// The frame has arrived, but the answer cannot be decoded.
        Answer(error: frame::Error) {
            from()
            display("answer: {}", error)
        }
        /// The frame did not arrive.
        Unsent(cause: String) {
            display("not sent: {}", cause)
        }
        /// The frame may have arrived, but no complete answer was received.
        Broken(cause: String) {
            display("no complete answer: {}", cause)
        }
        /// The receiver rejected the frame with this error.
        Refused(error: frame::Error) {
            display("refused: {}", error)
        }
    }
}

/// Sends frames over a pool of connections.
#[derive(Debug)]
pub struct Client {
    pool: Pool,
}

impl Client {
    /// Creates a client without connections. Connecting to an entry may take as long as `connect`.
    #[must_use]
    pub fn new(connect: Duration) -> Self {
        let limits = pool::Limits {
            connect_timeout: connect,
            max_idle: 16,
            max_answer_bytes: frame::MAX_BYTES,
            ..pool::Limits::default()
        };
        Self {
            pool: Pool::new(limits),
        }
    }

    /// Sends a frame and waits for the answer, both within `limit`.
    ///
    /// # Errors
    ///
    /// Returns an error if no valid answer was received. It is [`Error::Unsent`] only if the frame
    /// cannot have arrived.
    pub async fn exchange(
        &self,
        to: SocketAddr,
        frame: &Frame,
        limit: Duration,
    ) -> Result<Frame, Error> {
        let body = frame::encode(frame).map_err(|error| Error::Unsent(error.to_string()))?;
        let body = Full::new(body.into());
        let request = Request::post("/peer")
            .header(http::header::HOST, "entry")
            .body(body)
            .map_err(|error| Error::Unsent(error.to_string()))?;
        let response = self.pool.send(to, request, limit).await;
        let response = response.map_err(|error| match error {
            pool::Error::Unsent(cause) => Error::Unsent(cause.to_string()),
            pool::Error::Broken(cause) => Error::Broken(cause),
        })?;
        match response.status() {
            StatusCode::OK => Ok(frame::decode(response.body())?),
            StatusCode::BAD_REQUEST => Err(rmp_serde::from_slice(response.body())
                .map_or_else(|error| Error::Broken(error.to_string()), Error::Refused)),
            status => Err(Error::Broken(format!("{to}: status {status}"))),
        }
    }

    /// Closes connections that have been idle for too long.
    pub fn sweep(&self) {
        self.pool.sweep();
    }

    /// Closes all idle connections.
    pub fn clear(&self) {
        self.pool.clear();
    }
}
