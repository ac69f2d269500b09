/*!
HTTP for callers, operators and the platform.

* [`lookup`] answers callers that ask which entry to use.
* [`operators`] publishes, changes replicas and shows state.
* [`server`] listens.
*/

mod lookup;
mod operators;
mod server;

pub(crate) use server::{HttpListenError, HttpServer};
