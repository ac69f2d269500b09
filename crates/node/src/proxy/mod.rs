/*!
Carrying a caller's request: in by poem, out by reqwest, steered by the reducer.

* [`intake`] reads what the reducer must know of a request, and holds its body if it is small.
* [`attempt`] makes one attempt and says how it ended.
* [`answer`] makes answers, and watches those that are passed on piece by piece.
* [`drive`] does what the reducer orders until the request has its one answer.
*/

mod answer;
mod attempt;
mod drive;
mod intake;

pub(crate) use drive::forward;
