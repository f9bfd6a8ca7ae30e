//! Responses whose bytes the request chooses.

use std::fmt::Write as _;
use std::time::Duration;

use crate::http::Query;

/// What happens to the connection behind a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RawEnd {
    /// It stays open for the next request.
    KeepOpen,
    /// It is closed.
    Close,
    /// It is reset after a delay.
    Reset {
        /// Time from the last byte of the response to the reset.
        delay: Duration,
    },
}

/// A response that is sent byte by byte as given, also if it is none in HTTP.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RawResponse {
    /// All bytes, from the status line on.
    pub bytes: Vec<u8>,
    /// Whether it is sent before the body of the request is read.
    pub is_early: bool,
    /// What happens behind it.
    pub end: RawEnd,
}

impl RawResponse {
    /// Returns a response that is sent after the request has run, and after which the connection is closed.
    pub fn closing(bytes: impl Into<Vec<u8>>) -> Self {
        Self {
            bytes: bytes.into(),
            is_early: false,
            end: RawEnd::Close,
        }
    }

    /// Returns the query that asks a backend server for this response.
    pub fn query(&self) -> String {
        let mut query = "raw=".to_owned();
        for byte in &self.bytes {
            let _ = write!(query, "{byte:02x}");
        }
        if self.is_early {
            query.push_str("&raw_early=1");
        }
        match self.end {
            RawEnd::KeepOpen => (),
            RawEnd::Close => query.push_str("&raw_end=close"),
            RawEnd::Reset { delay } => {
                let _ = write!(query, "&raw_end=reset&raw_delay_us={}", delay.as_micros());
            }
        }
        query
    }

    pub(super) fn from_query(query: Query<'_>) -> Option<Self> {
        let digits = query.get("raw").as_bytes();
        if digits.is_empty() {
            return None;
        }
        let parse = |pair: &[u8]| {
            let pair = std::str::from_utf8(pair).ok()?;
            u8::from_str_radix(pair, 16).ok()
        };
        let bytes: Option<Vec<u8>> = digits.chunks(2).map(parse).collect();
        let delay_us = query.get("raw_delay_us").parse().unwrap_or(0);
        Some(Self {
            bytes: bytes?,
            is_early: !query.get("raw_early").is_empty(),
            end: match query.get("raw_end") {
                "close" => RawEnd::Close,
                "reset" => RawEnd::Reset {
                    delay: Duration::from_micros(delay_us),
                },
                _ => RawEnd::KeepOpen,
            },
        })
    }
}
