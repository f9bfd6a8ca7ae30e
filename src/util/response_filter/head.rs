//! Reads the head of a response.

use http::header::{HeaderName, HeaderValue};
use snafu::{ResultExt, ensure};

use super::HEAD_MAX_BYTES;
use super::framing::{self, Framing};
use super::invalid::{
    HeadTooLongSnafu, Result, StatusSnafu, SyntaxSnafu, UnexpectedBodySnafu, UnframedSnafu,
};

/// Most header fields in one head, the same limit as in hyper.
const HEADERS_MAX: usize = 100;

/// Start of a response.
#[derive(Debug)]
pub(super) struct ResponseHead {
    pub(super) len_bytes: usize,
    pub(super) id: Option<HeaderValue>,
    status: u16,
    /// Framing of the body, if the response has one. `None` if it has no field for that.
    declared: Option<Framing>,
    /// Whether the connection ends with the response.
    ends_connection: bool,
}

impl ResponseHead {
    /// Reads the head at the start of `input`; `None` if it is not complete. `id_header` is the name of the header in which
    /// responses repeat the id of their request.
    pub(super) fn parse(input: &[u8], id_header: Option<&HeaderName>) -> Result<Option<Self>> {
        let mut fields = [httparse::EMPTY_HEADER; HEADERS_MAX];
        let mut response = httparse::Response::new(&mut fields);
        let len_bytes = match response.parse(input).context(SyntaxSnafu)? {
            httparse::Status::Complete(len_bytes) => len_bytes,
            httparse::Status::Partial => {
                ensure!(input.len() < HEAD_MAX_BYTES, HeadTooLongSnafu);
                return Ok(None);
            }
        };
        ensure!(len_bytes <= HEAD_MAX_BYTES, HeadTooLongSnafu);
        let status = response.code.unwrap_or(0);
        ensure!(is_valid_status(status), StatusSnafu);
        let minor_version = response.version.unwrap_or(0);
        let declared = Framing::declared(minor_version, response.headers)?;
        let ends_connection = framing::ends_connection(minor_version, response.headers);
        let mut fields = response.headers.iter();
        let id = id_header
            .and_then(|name| fields.find(|field| field.name.eq_ignore_ascii_case(name.as_str())));
        Ok(Some(Self {
            len_bytes,
            id: id.and_then(|field| HeaderValue::from_bytes(field.value).ok()),
            status,
            declared,
            ends_connection,
        }))
    }

    /// Whether the final response to the request is still to come.
    pub(super) fn is_interim(&self) -> bool {
        self.status < 200
    }

    /// Framing of the body. `is_head` says whether the request has the method HEAD.
    ///
    /// A body without a declared framing is whole when the connection ends. A response that keeps its connection has such a
    /// body only if the field with the framing was lost.
    pub(super) fn body_framing(&self, is_head: bool) -> Result<Framing> {
        match (self.status, &self.declared) {
            (100..200 | 204, None | Some(Framing::Length(0))) => Ok(Framing::Length(0)),
            (100..200 | 204, Some(_)) => UnexpectedBodySnafu.fail(),
            (304, _) => Ok(Framing::Length(0)),
            _ if is_head => Ok(Framing::Length(0)),
            (_, Some(declared)) => Ok(declared.clone()),
            (_, None) if self.ends_connection => Ok(Framing::UntilClose),
            (_, None) => UnframedSnafu.fail(),
        }
    }
}

/// Whether a request of a node may get this status. 101 answers a request to change the protocol, and nodes send none.
fn is_valid_status(status: u16) -> bool {
    matches!(status, 100 | 102..=599)
}
