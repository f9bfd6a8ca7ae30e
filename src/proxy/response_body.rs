//! Ends the body of a response whose rest does not arrive in time.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Instant;

use bytes::Bytes;
use http::{HeaderValue, Response};
use http_body::{Body as HttpBody, Frame, SizeHint};
use snafu::Snafu;
use tokio::time::Sleep;

use super::body::{self, Body, BoxError};
use super::failure::Reason;
use super::log_limiter::{self, LogClass};
use super::state::ProxyState;
use crate::decide::response_time::{Overrun, ResponseTime};
use crate::util::deadline;

/// The rest of the response did not arrive in time.
#[derive(Debug, Snafu)]
#[snafu(display("the response was ended ({}) after {at_byte} bytes", overrun.as_str()))]
struct Ended {
    overrun: Overrun,
    at_byte: u64,
}

/// Where on the path of a request its response is limited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Place {
    /// The entry node, from the node of the backend server.
    Entry,
    /// The gate, from the backend server.
    Gate,
}

impl Place {
    fn as_str(self) -> &'static str {
        match self {
            Self::Entry => "entry",
            Self::Gate => "gate",
        }
    }
}

/// Limits the time for the rest of `response` to that until `deadline`. Its body then fails, so that the response does not look
/// complete, and what it holds is dropped.
pub(crate) fn limit_time(
    node: &Arc<ProxyState>,
    place: Place,
    id: Option<&HeaderValue>,
    response: Response<Body>,
    deadline: Instant,
) -> Response<Body> {
    response.map(|inner| {
        if inner.is_end_stream() {
            return inner;
        }
        let time = ResponseTime::new(Instant::now(), deadline, inner.size_hint().exact());
        body::boxed(TimedBody {
            node: Arc::clone(node),
            place,
            id: id.cloned(),
            time,
            passed_bytes: 0,
            timer: None,
            turns: None,
            inner: Some(inner),
        })
    })
}

/// Why a response has failed whose body failed with `error`.
pub(crate) fn failure_reason(error: &BoxError) -> Reason {
    match error.downcast_ref::<Ended>() {
        Some(_) => Reason::Deadline,
        None => Reason::Lost,
    }
}

struct TimedBody {
    node: Arc<ProxyState>,
    place: Place,
    id: Option<HeaderValue>,
    time: ResponseTime,
    passed_bytes: u64,
    /// Runs while nothing arrives.
    timer: Option<Pin<Box<Sleep>>>,
    /// After the timer: time for the runtime to read what has arrived.
    turns: Option<Pin<Box<dyn Future<Output = ()> + Send>>>,
    /// `None` once it has failed.
    inner: Option<Body>,
}

impl TimedBody {
    /// Waits until the time of the sender is over.
    fn poll_expired(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let until = self.time.wait_until(Instant::now());
        let timer = self
            .timer
            .get_or_insert_with(|| Box::pin(tokio::time::sleep_until(until.into())));
        ready!(timer.as_mut().poll(context));
        let turns = self
            .turns
            .get_or_insert_with(|| Box::pin(deadline::runtime_turns()));
        turns.as_mut().poll(context)
    }

    fn end(&mut self, overrun: Overrun) -> BoxError {
        self.inner = None;
        let limit = overrun.as_str();
        let place = self.place.as_str();
        metrics::counter!("dragonflywall_responses_ended_total", "limit" => limit, "at" => place)
            .increment(1);
        if self.node.log_limiter.may_log(LogClass::Notable) {
            log::warn!(
                request_id = log_limiter::id_text(self.id.as_ref()),
                at = place,
                limit,
                at_byte = self.passed_bytes;
                "ended a response whose rest did not arrive in time"
            );
        }
        let at_byte = self.passed_bytes;
        Ended { overrun, at_byte }.into()
    }

    fn pass_on(&mut self, frame: Frame<Bytes>) -> Result<Frame<Bytes>, BoxError> {
        self.timer = None;
        self.turns = None;
        let len_bytes = frame.data_ref().map_or(0, |data| data.len() as u64);
        match self.time.record_part(Instant::now(), len_bytes) {
            Ok(()) => {
                self.passed_bytes += len_bytes;
                Ok(frame)
            }
            Err(overrun) => Err(self.end(overrun)),
        }
    }
}

impl HttpBody for TimedBody {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        let this = &mut *self;
        let Some(inner) = &mut this.inner else {
            return Poll::Ready(Some(Err("the response has been ended".into())));
        };
        this.time.record_request(Instant::now());
        match Pin::new(inner).poll_frame(context) {
            Poll::Ready(Some(Ok(frame))) => Poll::Ready(Some(this.pass_on(frame))),
            Poll::Ready(ended) => Poll::Ready(ended),
            Poll::Pending => {
                ready!(this.poll_expired(context));
                Poll::Ready(Some(Err(this.end(Overrun::Deadline))))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        let inner = self.inner.as_ref();
        inner.is_some_and(HttpBody::is_end_stream)
    }

    fn size_hint(&self) -> SizeHint {
        let inner = self.inner.as_ref();
        inner.map_or_else(SizeHint::default, HttpBody::size_hint)
    }
}
