/*!
Requests whose bodies a server of this crate can't read as their senders meant them.
*/

use {
    hyper::Request,
    poem::http::{Method, header},
};

/// Returns whether the body of a request can be read as it was meant.
///
/// It can't if the body has another transfer coding than chunks: hyper decodes only the last coding,
/// and without the header, which applies to one connection, what is left would pass for the body. Nor
/// can the bytes after a CONNECT, which belong to a tunnel.
pub(crate) fn is_readable<B>(request: &Request<B>) -> bool {
    let mut codings = request.headers().get_all(header::TRANSFER_ENCODING).iter();
    let is_plain = match (codings.next(), codings.next()) {
        (None, _) => true,
        (Some(coding), None) => coding.as_bytes().trim_ascii().eq_ignore_ascii_case(b"chunked"),
        (Some(_), Some(_)) => false,
    };
    is_plain && request.method() != Method::CONNECT
}
