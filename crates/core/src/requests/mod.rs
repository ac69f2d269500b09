/*!
Handling of a caller's request at an entry, from its arrival to its single final response.

* [`types`] defines the events that come in and the actions that go out.
* [`scheduler`] holds the open requests.
* `claims` acquires and releases the claims of requests that run at most once.
* `attempts` handles the ends of attempts and retries.
* `placement` decides where a request runs: on a local target, at an entry of another failure
  domain, later from the queue, or not at all.
* `latency` refuses requests whose deadline can't be met.
* `queue` orders waiting requests by kind and caller.
* [`limits`] enforces the ceilings of shifts and links, and the retry budget.

Every refusal is sent as soon as it is decided, and says whether the request may have run and when
to retry.
*/

mod attempts;
mod claims;
mod latency;
pub mod limits;
mod placement;
mod queue;
pub mod scheduler;
pub mod types;

pub use {
    scheduler::RequestScheduler,
    types::{
        AttemptDestination, AttemptResult, DispatchAttempt, IncomingRequest, RequestAction,
        RequestEvent, RequestId,
    },
};
