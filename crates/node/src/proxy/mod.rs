/*!
Forwarding of callers' requests to declared targets.

A request arrives through poem and leaves through reqwest; the reducer decides each step.

* [`request`] reads a caller's request, and buffers its body if it is small or the request may run
  at most once.
* [`attempt`] makes one attempt and reports how it ended.
* [`response`] builds responses to callers and reports how streamed ones ended.
* [`forwarding`] carries out the reducer's actions until the request has its one response.
*/

mod attempt;
mod forwarding;
mod request;
mod response;

pub(crate) use forwarding::forward;
