/*!
What a target says of itself with a response, besides its load.

A target knows first that it is in need. What it says holds from the response on, for as long as its
later responses say so, and is about that target, not about its address.
*/

use {crate::clock::Moment, std::time::Duration};

/// What one response of a target says about the target itself.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TargetNotice {
    /// The number of requests per second that the target takes from all entries together; none if
    /// it states no limit. Finite and not negative.
    pub rate_limit: Option<f64>,
    /// Whether the target leaves, and wants no new request any more.
    pub is_leaving: bool,
    /// The time for which the target wants no request from this entry, with a request that it turned
    /// away.
    pub pause: Option<Duration>,
    /// Whether the response states something about the target that can't be used, which counts as
    /// not stated.
    pub is_malformed: bool,
}

/// The rate limit that a target stated, or that it stated none, with the time of the response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct StatedLimit {
    pub per_s: Option<f64>,
    pub heard_at: Moment,
}
