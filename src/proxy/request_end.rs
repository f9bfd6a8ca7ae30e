//! When the last part of a request was handed to the HTTP library.

use std::pin::Pin;
use std::sync::{Arc, OnceLock};
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::Request;
use http_body::{Body as HttpBody, Frame, SizeHint};

use super::body::{self, Body, BoxError};

/// The end of a request that is being sent.
#[derive(Clone, Debug, Default)]
pub(crate) struct RequestEnd(Arc<OnceLock<Instant>>);

impl RequestEnd {
    /// Observes the end of `request`. A request without a body ends now.
    pub(crate) fn observe(request: Request<Body>) -> (Request<Body>, Self) {
        let end = Self::default();
        if request.body().is_end_stream() {
            end.record();
            return (request, end);
        }
        let request = request.map(|inner| {
            let end = end.clone();
            body::boxed(ObservedBody { inner, end })
        });
        (request, end)
    }

    fn record(&self) {
        self.0.get_or_init(Instant::now);
    }

    /// Time since the end of the request; zero if it has not ended.
    pub(crate) fn elapsed(&self) -> Duration {
        self.0.get().map_or(Duration::ZERO, Instant::elapsed)
    }
}

struct ObservedBody {
    inner: Body,
    end: RequestEnd,
}

impl HttpBody for ObservedBody {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        let frame = ready!(Pin::new(&mut self.inner).poll_frame(context));
        if frame.is_none() || self.inner.is_end_stream() {
            self.end.record();
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
