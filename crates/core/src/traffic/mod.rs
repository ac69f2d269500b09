/*!
What an entry decides about requests: which target runs each, and which are refused.

* [`request`] is a request on its way; [`target_state`] is what the entry knows of each target.
* [`router`] holds what an entry knows; `admission` lets requests in, `dispatch` makes and judges attempts,
  and [`placement`] chooses a target.
* `route_stats` measures the work of routes; `link_meter` and `connect_meter` tell how full the entry's link
  is, by what it sends and by how long connections take, and
  `retry_pacer` spreads the callers that come back over it.
* [`spillover`] plans what part of a region's work runs in other regions.
* [`retry_budget`] bounds repeats; [`cold_limiter`] bounds what targets that have just started get.

Requests for the same object go to the same target from all entries, without talk between them: the
targets of a region are ranked by a hash of the object's key and the target's name. A target that
leaves or joins moves only its own keys.
*/

mod admission;
pub mod cold_limiter;
mod connect_meter;
mod dispatch;
mod link_meter;
pub mod placement;
pub mod request;
pub mod retry_budget;
mod retry_pacer;
mod route_stats;
pub mod router;
pub mod spillover;
pub mod target_state;
