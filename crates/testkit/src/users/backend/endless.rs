//! Responses that never end.

use super::connection::{format_response_head, response_seal};
use crate::backend::generated_body;

/// Part of a response that goes on until the client closes the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndlessPart {
    /// Bytes that are no response.
    Garbage,
    /// The text of the status line.
    StatusLine,
    /// The value of a header field.
    FieldValue,
    /// Header fields.
    Head,
    /// Interim responses before the final one.
    Interim,
    /// A body with an implausible length.
    Length,
    /// A body in chunks.
    Chunks,
    /// A body that ends with the connection.
    UntilClose,
    /// The extension of a chunk.
    ChunkExtension,
    /// Trailer fields behind the last chunk.
    Trailers,
    /// A response to another request behind a complete response.
    Unexpected,
    /// Silence after half of the body.
    Silence,
}

/// What a backend server sends for an endless response.
pub(super) struct Pieces {
    pub(super) start: Vec<u8>,
    /// Sent again and again. If empty, nothing is sent behind the start.
    pub(super) repeated: String,
}

/// Length of the repeated piece of a body.
const PIECE_BYTES: usize = 1_024;
/// Length of the complete response before [`EndlessPart::Unexpected`].
const WHOLE_BYTES: usize = 64;
/// Length that [`EndlessPart::Length`] declares.
const IMPLAUSIBLE_BYTES: usize = 1 << 50;
/// Length that [`EndlessPart::Silence`] declares, and the half of it that is sent.
const SILENT_BYTES: usize = 20_000;

impl EndlessPart {
    /// All parts.
    pub const ALL: [Self; 12] = [
        Self::Garbage,
        Self::StatusLine,
        Self::FieldValue,
        Self::Head,
        Self::Interim,
        Self::Length,
        Self::Chunks,
        Self::UntilClose,
        Self::ChunkExtension,
        Self::Trailers,
        Self::Unexpected,
        Self::Silence,
    ];

    /// Returns the value of the query parameter `endless` that selects this part.
    pub fn query_value(self) -> &'static str {
        match self {
            Self::Garbage => "garbage",
            Self::StatusLine => "status-line",
            Self::FieldValue => "field-value",
            Self::Head => "head",
            Self::Interim => "interim",
            Self::Length => "length",
            Self::Chunks => "chunks",
            Self::UntilClose => "until-close",
            Self::ChunkExtension => "chunk-extension",
            Self::Trailers => "trailers",
            Self::Unexpected => "unexpected",
            Self::Silence => "silence",
        }
    }

    pub(super) fn from_query_value(query_value: &str) -> Option<Self> {
        let mut parts = Self::ALL.into_iter();
        parts.find(|part| part.query_value() == query_value)
    }

    pub(super) fn pieces(self, id: &str) -> Pieces {
        let seal = format!(
            "X-Dfw-Response-Seal: {}\r\n",
            response_seal(id, WHOLE_BYTES as u64)
        );
        let chunked = format!("{seal}Transfer-Encoding: chunked\r\n");
        let filler = "f".repeat(PIECE_BYTES);
        let chunk = format!("{PIECE_BYTES:x}\r\n{filler}\r\n");
        let head =
            |headers: &str, len: Option<usize>| format_response_head(200, id, headers, len, false);
        let closing = format!("{seal}Connection: close\r\n");
        let (start, repeated) = match self {
            Self::Garbage => (String::new(), "\u{1}\u{2}no response".to_owned()),
            Self::StatusLine => ("HTTP/1.1 200 ".to_owned(), filler),
            Self::FieldValue => (
                head(&seal, None).trim_end().to_owned() + "\r\nx-filler: ",
                filler,
            ),
            Self::Head => (
                head(&seal, None).trim_end().to_owned() + "\r\n",
                "x-filler: f\r\n".to_owned(),
            ),
            Self::Interim => (String::new(), "HTTP/1.1 103 Early Hints\r\n\r\n".to_owned()),
            Self::Length => (head(&seal, Some(IMPLAUSIBLE_BYTES)), filler),
            Self::Chunks => (head(&chunked, None), chunk),
            Self::UntilClose => (head(&closing, None), filler),
            Self::ChunkExtension => (head(&chunked, None) + "5", ";name=value".to_owned()),
            Self::Trailers => (
                head(&chunked, None) + "5\r\nhello\r\n0\r\n",
                "x-filler: f\r\n".to_owned(),
            ),
            Self::Unexpected => {
                let mut start = head(&seal, Some(WHOLE_BYTES)).into_bytes();
                start.extend_from_slice(&generated_body(id, WHOLE_BYTES as u64));
                let other = format_response_head(200, "another-request", &chunked, None, false);
                start.extend_from_slice(other.as_bytes());
                let repeated = chunk;
                return Pieces { start, repeated };
            }
            Self::Silence => {
                let half = "s".repeat(SILENT_BYTES / 2);
                (head(&seal, Some(SILENT_BYTES)) + &half, String::new())
            }
        };
        let start = start.into_bytes();
        Pieces { start, repeated }
    }
}
