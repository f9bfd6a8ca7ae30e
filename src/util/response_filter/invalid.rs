//! Why the bytes of a connection are not a valid response.

use snafu::Snafu;

/// Result of reading a response.
pub(super) type Result<T, E = InvalidResponse> = std::result::Result<T, E>;

/// Why the bytes of a connection are not a response that may be passed on. Holds nothing that was received: it may be logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(super)))]
pub(super) enum InvalidResponse {
    /// The head cannot be parsed.
    #[snafu(display("the head cannot be parsed: {source}"))]
    Syntax {
        /// The parse error.
        source: httparse::Error,
    },
    /// The head is longer than [`super::HEAD_MAX_BYTES`].
    #[snafu(display("the head is too long"))]
    HeadTooLong,
    /// No response may have this status, or none to a request of a node.
    #[snafu(display("the status is invalid"))]
    Status,
    /// There are several lengths, or one that is no decimal number.
    #[snafu(display("the content length is invalid"))]
    ContentLength,
    /// There is a transfer coding other than `chunked`, or `chunked` where it is not allowed.
    #[snafu(display("the transfer coding is invalid or not supported"))]
    TransferEncoding,
    /// A response whose status allows no body declares one.
    #[snafu(display("a response without a body declares one"))]
    UnexpectedBody,
    /// Nothing says where the body ends.
    #[snafu(display("the response keeps its connection and does not say where its body ends"))]
    Unframed,
    /// A chunk is not where it must begin, has no valid size or does not end behind it.
    #[snafu(display("the chunks of the body are invalid"))]
    Chunk,
}

impl InvalidResponse {
    /// Label of the metric.
    pub(super) fn code(self) -> &'static str {
        match self {
            Self::Syntax { .. } => "syntax",
            Self::HeadTooLong => "head-too-long",
            Self::Status => "status",
            Self::ContentLength => "content-length",
            Self::TransferEncoding => "transfer-encoding",
            Self::UnexpectedBody => "unexpected-body",
            Self::Unframed => "unframed",
            Self::Chunk => "chunk",
        }
    }
}
