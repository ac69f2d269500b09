/*!
Routing of requests at an entry: decides which target runs each request and which requests are
refused.

* [`request`] is the state of a request; `target_state` is that of a target as the entry sees it,
  [`target_notice`] what a target says of itself, and `target_departure` what is known of one that
  drains.
* [`router`] holds the state that decisions are based on; `admission` admits requests, `dispatch`
  starts attempts and records their results, and [`placement`] chooses a target.
* `route_stats` measures the processing time of routes, and `late_cause` tells why a response was
  late. `link_meter`, `connect_meter` and `link_delay` measure how congested the entry's link is, by its
  traffic, by connect times and by the replies of replicas, and `retry_pacer` spreads the retries of
  refused callers over time.
* [`request_time`] is the time that a request may take, and `send_times` what replies of replicas show
  about when its caller sent it. [`link_check`] makes exchanges that show more while nothing else does.
* [`probe`] shows whether a target that gets no requests can take some again.
* `reach_meter` finds out whether the entry reaches targets at all; `peer_forwarding` chooses another
  entry for its requests while it doesn't.
* [`fingerprint`] identifies requests that are sent again; [`quarantine`] refuses those that end the
  targets that run them.
* [`body_budget`] limits the memory for callers' bodies, and [`body_pacer`] the pace at which they are
  written. [`kept_connections`] limits the connections that stay open between requests, and
  [`spare_plan`] decides to which targets unused ones are kept ready.
* [`spillover`] plans the share of a region's requests that runs in other regions, and `shift_meter`
  counts what ran there.
* [`retry_budget`] limits retries; [`cold_limiter`] limits the requests to cold targets, and
  `target_limits` with `rate_share` those to targets that state a limit.

On sticky routes, all entries prefer the same target of a region for the same object, without
coordination: rendezvous hashing ranks the targets by a hash of the object's key and the target's
name. When a target leaves or joins, only the keys of that target move.
*/

mod admission;
pub mod body_budget;
pub mod body_pacer;
pub mod cold_limiter;
mod connect_meter;
mod dispatch;
pub mod fingerprint;
pub mod kept_connections;
mod late_cause;
pub mod link_check;
mod link_delay;
mod link_meter;
mod peer_forwarding;
pub mod placement;
pub mod probe;
pub mod quarantine;
mod rate_share;
mod reach_meter;
pub mod request;
pub mod request_time;
pub mod retry_budget;
mod retry_pacer;
mod route_stats;
pub mod router;
pub mod send_times;
mod shift_meter;
pub mod spare_plan;
pub mod spillover;
mod target_departure;
mod target_limits;
pub mod target_notice;
mod target_state;
