//! Response bodies of a store without sockets.

use std::convert::Infallible;

use http_body_util::StreamBody;
use hyper::body::Frame;
use tokio_stream::StreamExt;

use super::*;

const LIMITS: BodyLimits = BodyLimits {
    max_bytes: 1 << 20,
    stall_timeout: Duration::from_secs(10),
    total_timeout: Duration::from_millis(300),
};

/// A body without end, of a part every `pause`.
fn endless_body(
    part: &'static [u8],
    pause: Duration,
) -> impl Body<Data = Bytes, Error = Infallible> {
    let parts = tokio_stream::iter(std::iter::repeat(Bytes::from_static(part)));
    let frames = parts.then(move |part| async move {
        tokio::time::sleep(pause).await;
        Ok(Frame::data(part))
    });
    StreamBody::new(frames)
}

/// Guards against memory that grows for as long as a store sends.
#[tokio::test]
async fn body_without_end_is_given_up_at_the_size_limit() {
    let body = Box::pin(endless_body(&[7; 1 << 16], Duration::ZERO));
    let limits = BodyLimits {
        total_timeout: Duration::from_secs(60),
        ..LIMITS
    };
    let result = read_body(body, limits).await;
    assert!(
        matches!(result, Err(Error::OutcomeUnknown { .. })),
        "{result:?}"
    );
}

/// Guards against a call that lasts for as long as a store sends a byte now and then.
#[tokio::test]
async fn trickled_body_is_given_up_at_the_time_limit() {
    let body = Box::pin(endless_body(b"7", Duration::from_millis(10)));
    let result = read_body(body, LIMITS).await;
    assert!(matches!(result, Err(Error::TimedOut { .. })), "{result:?}");
}
