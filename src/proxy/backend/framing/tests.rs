//! The headers that frame request bodies.

use bytes::Bytes;
use http::Method;
use http::header::HeaderMap;
use http_body::Frame;
use http_body_util::StreamBody;

use super::*;
use crate::proxy::body::{self, BoxError};

/// A body of unknown length.
fn unknown_length(text: &'static str) -> Body {
    let frame = Ok::<_, BoxError>(Frame::data(Bytes::from_static(text.as_bytes())));
    body::boxed(StreamBody::new(tokio_stream::iter([frame])))
}

/// The headers that frame a body after those of its caller, which `received` names, have been replaced.
fn framed(method: Method, received: &[(&'static str, &'static str)], body: Body) -> HeaderMap {
    let mut request = Request::builder().method(method);
    for (name, value) in received {
        request = request.header(*name, *value);
    }
    let mut request = request.body(body).expect("the request is valid");
    frame_body(&mut request);
    request.headers().clone()
}

fn length(headers: &HeaderMap) -> Option<&str> {
    headers.get(CONTENT_LENGTH)?.to_str().ok()
}

fn coding(headers: &HeaderMap) -> Option<&str> {
    headers.get(TRANSFER_ENCODING)?.to_str().ok()
}

/// Guards against a body of unknown length that the library leaves out for some methods.
#[test]
fn a_body_is_framed_whatever_the_method() {
    for method in [Method::GET, Method::HEAD, Method::DELETE, Method::POST] {
        let headers = framed(method.clone(), &[], unknown_length("stock"));
        assert_eq!(
            (length(&headers), coding(&headers)),
            (None, Some("chunked"))
        );
        let headers = framed(method.clone(), &[], body::full("stock"));
        assert_eq!((length(&headers), coding(&headers)), (Some("5"), None));
        let headers = framed(method, &[], body::empty());
        assert_eq!((length(&headers), coding(&headers)), (None, None));
    }
}

/// Guards against the framing of the caller's connection in a request on another one.
#[test]
fn the_framing_of_the_caller_is_replaced() {
    let received = [
        ("transfer-encoding", "gzip, chunked"),
        ("content-length", "7"),
    ];
    let headers = framed(Method::POST, &received, unknown_length("stock"));
    assert_eq!(
        (length(&headers), coding(&headers)),
        (None, Some("chunked"))
    );
    let headers = framed(Method::POST, &received, body::full("stock"));
    assert_eq!((length(&headers), coding(&headers)), (Some("5"), None));
    let headers = framed(Method::POST, &received, body::empty());
    assert_eq!((length(&headers), coding(&headers)), (None, None));
    let headers = framed(Method::POST, &[("content-length", "0")], body::empty());
    assert_eq!((length(&headers), coding(&headers)), (Some("0"), None));
}
