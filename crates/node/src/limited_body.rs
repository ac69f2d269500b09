/*!
Bodies of responses to this instance's own calls, which are read only up to a size.

A faulty server may send bytes without end. A timeout alone lets through as many as the link carries
meanwhile.
*/

use {reqwest::Response, thiserror::Error};

/// The error of reading a body.
#[derive(Debug, Error)]
pub(crate) enum BodyReadError {
    /// The call failed.
    #[error(transparent)]
    Call(#[from] reqwest::Error),
    /// The body is larger than it may be.
    #[error("the response is larger than {0} bytes")]
    TooLarge(usize),
}

/// Reads a body of up to `bytes_max` bytes.
///
/// # Errors
///
/// Returns [`BodyReadError::TooLarge`] as soon as more have arrived, or [`BodyReadError::Call`] if the
/// connection fails.
pub(crate) async fn read_limited(
    mut response: Response,
    bytes_max: usize,
) -> Result<Vec<u8>, BodyReadError> {
    let mut body = Vec::new();
    while let Some(piece) = response.chunk().await? {
        body.extend_from_slice(&piece);
        if body.len() > bytes_max {
            return Err(BodyReadError::TooLarge(bytes_max));
        }
    }
    Ok(body)
}
