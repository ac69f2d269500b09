/*!
The life of a caller's request at an entry, from its arrival to its one final answer.

* [`types`] has what comes in and what goes out.
* [`scheduler`] holds the open requests.
* `claims` asks for the claims of requests that run at most once.
* `attempts` learns from how attempts end, and tries again.
* `placement` decides where a request runs: a target here, an entry elsewhere, the queue, or nowhere.
* `queue` keeps waiting requests by kind and caller.
* [`limits`] holds the ceilings of regions, shifts and links, and the budget of retries.

Every refusal is given at once, says whether the request was run, and says when to come back.
*/

mod attempts;
mod claims;
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
