//! Passes on the valid responses of an HTTP/1 server, and of a backend server only the one to the request on the connection.
//!
//! hyper reads the same bytes again, and decides for itself where a body ends. It also accepts framing that a proxy may not
//! pass on. A [`ResponseFilter`] therefore accepts only what has one reading, see [`framing`], and ends the connection at
//! anything else.
//!
//! A backend server may send a response twice, the second time in place of the response to the next
//! request. hyper matches responses to requests by their order alone. It would return the duplicate
//! to the next request and every later response to the request behind its own. The bytes of a
//! connection therefore pass through the filter before hyper reads them. It recognises a response by the request id that the
//! response repeats. The bytes of other responses are not changed.

use std::sync::{Arc, Mutex};

use bytes::{Buf, BytesMut};
use http::header::{HeaderName, HeaderValue};

use self::framing::Framing;
use self::head::ResponseHead;
use self::invalid::{InvalidResponse, Result};
pub(crate) use self::stream::{FilteredStream, RequestBodyGuard};

#[cfg(test)]
mod early_end_tests;
mod framing;
mod head;
mod invalid;
#[cfg(test)]
mod readings_tests;
mod stream;
#[cfg(test)]
mod tests;

/// Longest head of a response.
const HEAD_MAX_BYTES: usize = 64 << 10;

/// Most bytes that are read and dropped before the next expected response. Longer than a duplicate of a usual response.
const DROPPED_MAX_BYTES: u64 = 4 << 20;

/// A request whose response is expected.
#[derive(Clone, Debug)]
pub(crate) struct ExpectedResponse {
    /// Id that the response repeats. `None` for a request without an id, whose response has none.
    pub(crate) id: Option<HeaderValue>,
    /// Whether the request has the method HEAD, so that the response has no body.
    pub(crate) is_head: bool,
    /// Whether the request has a body, which then holds a [`RequestBodyGuard`].
    pub(crate) sends_body: bool,
}

/// How much of the current request has been sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RequestProgress {
    /// hyper has not read its whole body.
    Reading,
    /// hyper has read its whole body and may hold some of it.
    Buffered,
    /// The system has all of it.
    Sent,
}

impl ExpectedResponse {
    /// Whether a response with this id is the expected one.
    fn accepts(&self, response_id: Option<&HeaderValue>) -> bool {
        self.id.as_ref() == response_id
    }
}

/// Where the next byte of a connection belongs.
#[derive(Debug)]
enum Position {
    /// Before or in the head of a response.
    Head,
    /// In the body of a response. `is_passed` says whether the bytes are passed on.
    Body { framing: Framing, is_passed: bool },
    /// Behind bytes that are not a valid response. Nothing more is passed on.
    Invalid(InvalidResponse),
}

/// Separates the expected responses on one connection from others.
#[derive(Debug)]
pub(crate) struct ResponseFilter {
    /// `None` if responses do not repeat the id of their request.
    id_header: Option<HeaderName>,
    expected: Option<ExpectedResponse>,
    request: RequestProgress,
    position: Position,
    /// First part of a head that is not complete yet.
    partial_head: BytesMut,
    /// Bytes of other and of interim responses since the last expected response began.
    dropped_bytes: u64,
}

impl ResponseFilter {
    /// `id_header` is the name of the header in which responses repeat the id of their request, if they do.
    pub(crate) fn new(id_header: Option<HeaderName>) -> Self {
        Self {
            id_header,
            expected: None,
            request: RequestProgress::Sent,
            position: Position::Head,
            partial_head: BytesMut::new(),
            dropped_bytes: 0,
        }
    }

    /// Whether the bytes received so far end with a response. Behind any others, the next request would wait for the rest of
    /// a response that is not its own.
    pub(crate) fn is_between_responses(&self) -> bool {
        matches!(self.position, Position::Head) && self.partial_head.is_empty()
    }

    /// Whether the backend server sends more than the duplicate of a response. It may send without end, so its connection
    /// has to be closed.
    fn drops_too_much(&self) -> bool {
        self.dropped_bytes > DROPPED_MAX_BYTES
    }

    /// Sets the response that is passed on next. Call it before the request is sent.
    pub(crate) fn expect(&mut self, expected: ExpectedResponse) {
        self.request = match expected.sends_body {
            true => RequestProgress::Reading,
            false => RequestProgress::Sent,
        };
        self.expected = Some(expected);
    }

    /// Records that hyper has read the body of the request.
    fn record_body_read(&mut self) {
        if self.request == RequestProgress::Reading {
            self.request = RequestProgress::Buffered;
        }
    }

    /// Records that hyper has passed on all that it holds.
    fn record_flush(&mut self) {
        if self.request == RequestProgress::Buffered {
            self.request = RequestProgress::Sent;
        }
    }

    /// Whether the end of the connection would end a response before its request has been sent.
    fn ends_before_request(&self) -> bool {
        let ends_response = matches!(
            self.position,
            Position::Body {
                framing: Framing::UntilClose,
                is_passed: true,
            }
        );
        ends_response && self.request != RequestProgress::Sent
    }

    /// Appends to `passed` those of `bytes` that belong to expected responses. Fails if the others are not a valid response.
    fn feed(&mut self, bytes: &[u8], passed: &mut BytesMut) -> Result<()> {
        let mut input = std::mem::take(&mut self.partial_head);
        input.extend_from_slice(bytes);
        let read = self.read(input, passed);
        if let Err(invalid) = read {
            self.position = Position::Invalid(invalid);
        }
        read
    }

    fn read(&mut self, mut input: BytesMut, passed: &mut BytesMut) -> Result<()> {
        while !input.is_empty() {
            match &mut self.position {
                Position::Invalid(invalid) => return Err(*invalid),
                Position::Body { framing, is_passed } => {
                    let part_bytes = framing.advance(&input)?;
                    match *is_passed {
                        true => passed.extend_from_slice(&input[..part_bytes]),
                        false => self.dropped_bytes += part_bytes as u64,
                    }
                    input.advance(part_bytes);
                    if framing.has_ended() {
                        self.position = Position::Head;
                    }
                }
                Position::Head => {
                    let Some(head) = ResponseHead::parse(&input, self.id_header.as_ref())? else {
                        self.partial_head = input;
                        return Ok(());
                    };
                    let head_bytes = input.split_to(head.len_bytes);
                    self.begin_response(&head, &head_bytes, passed)?;
                }
            }
        }
        Ok(())
    }

    /// Appends to `passed` an incomplete head at the end of the connection, so that hyper reports it.
    fn end(&mut self, passed: &mut BytesMut) {
        passed.extend_from_slice(&std::mem::take(&mut self.partial_head));
    }

    fn begin_response(
        &mut self,
        head: &ResponseHead,
        bytes: &[u8],
        passed: &mut BytesMut,
    ) -> Result<()> {
        if head.is_interim() {
            head.body_framing(false)?;
            self.dropped_bytes += bytes.len() as u64;
            passed.extend_from_slice(bytes);
            return Ok(());
        }
        let has_ids = self.id_header.is_some();
        let accepted = self
            .expected
            .take_if(|expected| !has_ids || expected.accepts(head.id.as_ref()));
        let is_head = accepted.as_ref().is_some_and(|expected| expected.is_head);
        let framing = head.body_framing(is_head)?;
        // Without ids, hyper ends the connection at a response to no request.
        let is_passed = accepted.is_some() || !has_ids;
        if is_passed {
            self.dropped_bytes = 0;
            passed.extend_from_slice(bytes);
        } else {
            self.dropped_bytes += bytes.len() as u64;
            self.record_misplaced(head);
        }
        self.position = match framing.has_ended() {
            true => Position::Head,
            false => Position::Body { framing, is_passed },
        };
        Ok(())
    }

    fn record_misplaced(&self, head: &ResponseHead) {
        let id = head.id.as_ref().map_or("none", |_| "other");
        metrics::counter!("dragonflywall_misplaced_responses_total", "id" => id).increment(1);
        log::debug!(
            response_id:? = head.id,
            expected_id:? = self.expected.as_ref().and_then(|expected| expected.id.as_ref());
            "dropped a response that does not belong to the request on its connection"
        );
    }
}

/// The filter of one connection, shared by its stream and the requests on it.
pub(crate) type SharedFilter = Arc<Mutex<ResponseFilter>>;
