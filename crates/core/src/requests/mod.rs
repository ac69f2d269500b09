/*!
The life of a caller's request at an entry, from its arrival to its one final answer.

* [`types`] has what comes in and what goes out.
* [`book`] holds the open requests.
* `claiming` asks for the claims of requests that run at most once.
* `attempts` learns from how attempts end, and tries again.
* `place` decides where a request runs: a target here, an entry elsewhere, the queue, or nowhere.
* `queue` keeps waiting requests by kind and caller.
* [`limits`] holds the ceilings of regions, shifts and links, and the budget of retries.

Every refusal is given at once, says whether the request was run, and says when to come back.
*/

mod attempts;
pub mod book;
mod claiming;
pub mod limits;
mod place;
mod queue;
pub mod types;

pub use {
    book::RequestBook,
    types::{
        AttemptPlace, AttemptResult, DispatchOrder, RequestEvent, RequestId, RequestIntake,
        RequestOrder,
    },
};
