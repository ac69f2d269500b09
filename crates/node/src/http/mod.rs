/*!
The HTTP server for callers, operators and the platform.

* [`lookup`] tells callers which entries to use, and the platform whether the instance is ready.
* [`operators`] publishes sets, changes replicas and shows the state.
* [`server`] listens and routes requests to handlers.
*/

mod lookup;
mod operators;
mod server;

pub(crate) use server::{HttpListenError, HttpServer};
