//! Requests on connections of their own, and how their callers end them.

use std::net::SocketAddr;
use std::time::Duration;

use testkit::raw::{RawConnection, RawResponse};
use testkit::users::configuration::DEFAULT_HOST;
use testkit::users::mesh::REQUEST_ID;
use tokio::io::AsyncWriteExt;

/// Time in which a connection is opened.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time beyond its deadline for which a caller waits.
const DEADLINE_MARGIN: Duration = Duration::from_millis(300);

/// How a body is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Framing {
    Length,
    Chunked,
}

/// What a caller does while it waits for the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Ending {
    Waits,
    /// Sends the end of the body after this time.
    EndsLate(Duration),
    /// Closes its sending side once the request is sent.
    ClosesSending,
    /// Closes the connection after this time.
    Leaves(Duration),
}

/// A request to send on a connection of its own.
#[derive(Clone, Debug)]
pub(super) struct FreshRequest {
    pub(super) id: String,
    pub(super) method: &'static str,
    pub(super) path: String,
    pub(super) body: Vec<u8>,
    pub(super) framing: Framing,
    pub(super) ending: Ending,
    pub(super) deadline: Duration,
}

/// What the caller of a request got.
#[derive(Clone, Debug)]
pub(super) enum Outcome {
    Response(RawResponse),
    NotConnected,
    /// The connection ended before the whole response, with this error.
    Ended(String),
    DeadlinePassed,
    Left,
}

impl FreshRequest {
    pub(super) async fn send(&self, address: SocketAddr) -> Outcome {
        let connecting = RawConnection::connect(address);
        let Ok(Ok(mut connection)) = tokio::time::timeout(CONNECT_TIMEOUT, connecting).await else {
            return Outcome::NotConnected;
        };
        let waits = match self.ending {
            Ending::Leaves(after) => after,
            Ending::Waits | Ending::EndsLate(_) | Ending::ClosesSending => {
                self.deadline + DEADLINE_MARGIN
            }
        };
        let exchanged = tokio::time::timeout(waits, self.exchange(&mut connection)).await;
        match (exchanged, self.ending) {
            (Ok(Ok(response)), _) => Outcome::Response(response),
            (Ok(Err(error)), _) => Outcome::Ended(error),
            (Err(_), Ending::Leaves(_)) => Outcome::Left,
            (Err(_), _) => Outcome::DeadlinePassed,
        }
    }

    async fn exchange(&self, connection: &mut RawConnection) -> Result<RawResponse, String> {
        let (start, end) = self.parts();
        connection.send(start).await?;
        if let Ending::EndsLate(after) = self.ending {
            tokio::time::sleep(after).await;
        }
        connection.send(end).await?;
        if self.ending == Ending::ClosesSending {
            let closed = connection.stream.shutdown().await;
            closed.map_err(|error| error.to_string())?;
        }
        connection.read_response().await
    }

    /// The bytes of the request up to the last one, or the last chunk, of its body, and the rest.
    fn parts(&self) -> (Vec<u8>, Vec<u8>) {
        let framing = match self.framing {
            Framing::Length => format!("Content-Length: {}", self.body.len()),
            Framing::Chunked => "Transfer-Encoding: chunked".to_owned(),
        };
        let head = format!(
            "{} {} HTTP/1.1\r\nHost: {DEFAULT_HOST}\r\n{REQUEST_ID}: {}\r\nX-Dfw-Deadline-Ms: {}\r\n{framing}\r\n\r\n",
            self.method,
            self.path,
            self.id,
            self.deadline.as_millis(),
        );
        let mut start = head.into_bytes();
        match self.framing {
            Framing::Length => {
                let (most, last) = self.body.split_at(self.body.len().saturating_sub(1));
                start.extend_from_slice(most);
                (start, last.to_vec())
            }
            Framing::Chunked => {
                start.extend_from_slice(format!("{:x}\r\n", self.body.len()).as_bytes());
                start.extend_from_slice(&self.body);
                start.extend_from_slice(b"\r\n");
                (start, b"0\r\n\r\n".to_vec())
            }
        }
    }
}
