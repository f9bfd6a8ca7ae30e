//! How the end of a request's body is marked on a connection to the backend server.

use http::Request;
use http::header::{CONTENT_LENGTH, HeaderValue, TRANSFER_ENCODING};
use http_body::Body as _;

use crate::proxy::body::Body;

#[cfg(test)]
mod tests;

/// Sets the header that frames the body of a request, and removes the others. Those of the caller applied to its own
/// connection.
///
/// Without a header, the HTTP library sends no body of unknown length for methods that seldom have one.
pub(super) fn frame_body(request: &mut Request<Body>) {
    let has_body = !request.body().is_end_stream();
    let len_bytes = request.body().size_hint().exact();
    let headers = request.headers_mut();
    headers.remove(TRANSFER_ENCODING);
    match len_bytes {
        // It also says that there is no body, which some servers require for some methods.
        _ if !has_body => {
            let is_zero = |value: &HeaderValue| value.as_bytes() == b"0";
            if !headers.get(CONTENT_LENGTH).is_some_and(is_zero) {
                headers.remove(CONTENT_LENGTH);
            }
        }
        Some(len_bytes) => {
            headers.insert(CONTENT_LENGTH, HeaderValue::from(len_bytes));
        }
        None => {
            headers.remove(CONTENT_LENGTH);
            headers.insert(TRANSFER_ENCODING, HeaderValue::from_static("chunked"));
        }
    }
}
