//! HTTP/1.1 connections on which a test chooses each byte and when it is sent.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Buf, BytesMut};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::http::Result;

/// Limit on each read. It only keeps a broken test from running forever.
const READ_TIMEOUT: Duration = Duration::from_secs(30);
const MAX_HEADERS: usize = 64;

/// A response as it was received.
#[derive(Clone, Debug)]
pub struct RawResponse {
    /// Status code.
    pub status: u16,
    /// Header names in lower case and their values.
    pub headers: Vec<(String, String)>,
    /// The complete body.
    pub body: Vec<u8>,
}

impl RawResponse {
    /// Returns the value of a header whose name is given in lower case, or an empty text.
    pub fn header(&self, name: &str) -> &str {
        let mut headers = self.headers.iter();
        let found = headers.find(|(known, _)| known == name);
        found.map_or("", |(_, value)| value.as_str())
    }
}

/// A connection of a caller.
#[derive(Debug)]
pub struct RawConnection {
    /// The TCP connection.
    pub stream: TcpStream,
    buffer: BytesMut,
}

impl RawConnection {
    /// Opens a connection to `address`.
    pub async fn connect(address: SocketAddr) -> Result<Self> {
        let stream = TcpStream::connect(address).await.map_err(error_text)?;
        stream.set_nodelay(true).map_err(error_text)?;
        Ok(Self {
            stream,
            buffer: BytesMut::new(),
        })
    }

    /// Sends `bytes`.
    pub async fn send(&mut self, bytes: impl AsRef<[u8]>) -> Result<()> {
        let sent = self.stream.write_all(bytes.as_ref()).await;
        sent.map_err(error_text)
    }

    /// Sends `pieces` with a pause behind each. Stops without an error if the connection ends.
    pub async fn send_slowly(&mut self, pieces: &[String], pause: Duration) {
        for piece in pieces {
            if self.send(piece).await.is_err() {
                return;
            }
            tokio::time::sleep(pause).await;
        }
    }

    /// Reads the next response, other than `100 Continue`. Returns an error if the connection ends before its last byte.
    pub async fn read_response(&mut self) -> Result<RawResponse> {
        loop {
            let head = self.read_head().await?;
            if head.status >= 200 {
                return self.read_body(head).await;
            }
        }
    }

    /// Reads the next head, also one of `100 Continue`.
    pub async fn read_head(&mut self) -> Result<RawResponse> {
        loop {
            if let Some((head, len)) = parse_head(&self.buffer)? {
                self.buffer.advance(len);
                return Ok(head);
            }
            self.read_more().await?;
        }
    }

    async fn read_body(&mut self, head: RawResponse) -> Result<RawResponse> {
        let len = head.header("content-length").parse().unwrap_or(0);
        let body = self.read_exactly(len).await?;
        Ok(RawResponse { body, ..head })
    }

    /// Reads `len` bytes of a body.
    pub async fn read_exactly(&mut self, len: usize) -> Result<Vec<u8>> {
        while self.buffer.len() < len {
            self.read_more().await?;
        }
        Ok(self.buffer.split_to(len).to_vec())
    }

    /// Reads until the connection ends. Returns the bytes, and an error if it was reset.
    pub async fn read_to_end(&mut self) -> (Vec<u8>, Result<()>) {
        let error = loop {
            if let Err(error) = self.read_more().await {
                break error;
            }
        };
        let bytes = self.buffer.split().to_vec();
        match error.as_str() {
            END => (bytes, Ok(())),
            _ => (bytes, Err(error)),
        }
    }

    async fn read_more(&mut self) -> Result<()> {
        let reading = self.stream.read_buf(&mut self.buffer);
        let read = tokio::time::timeout(READ_TIMEOUT, reading).await;
        match read.map_err(error_text)?.map_err(error_text)? {
            0 => Err(END.to_owned()),
            _ => Ok(()),
        }
    }
}

/// Error of a connection that was closed without a reset.
const END: &str = "the connection has ended";

fn parse_head(bytes: &[u8]) -> Result<Option<(RawResponse, usize)>> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Response::new(&mut fields);
    let len = match parsed.parse(bytes).map_err(error_text)? {
        httparse::Status::Complete(len) => len,
        httparse::Status::Partial => return Ok(None),
    };
    let to_text = |field: &httparse::Header<'_>| {
        let value = String::from_utf8_lossy(field.value).into_owned();
        (field.name.to_ascii_lowercase(), value)
    };
    let head = RawResponse {
        status: parsed.code.unwrap_or(0),
        headers: parsed.headers.iter().map(to_text).collect(),
        body: Vec::new(),
    };
    Ok(Some((head, len)))
}

fn error_text(error: impl std::fmt::Display) -> String {
    error.to_string()
}
