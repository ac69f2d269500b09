/*!
Probes of targets, which show when one that gets no requests can take some again.
*/

use {hemlockspool_model::names::TargetName, std::time::Duration};

/// A request to probe a target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ProbeRequest {
    /// The target.
    pub target: TargetName,
}

/// The result of a probe.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProbeResult {
    /// The target is healthy.
    Healthy {
        /// Its remaining warm-up time.
        cold: Duration,
    },
    /// It responded, but not that it is healthy.
    Unhealthy,
    /// It couldn't be connected to, or didn't respond in time, or another instance did.
    Unreached,
}
