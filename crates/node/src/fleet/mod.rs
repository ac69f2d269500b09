/*!
Instances of a fleet: entries and replicas whose targets are discovered at run time.

All code runs on one thread, except that the disk and the log each have a thread of their own.

* [`settings`] reads the settings file and [`settings_watch`] rereads it.
* `run_entry` and `run_replica` start and stop the instances.
* [`entry_shell`] and [`replica_shell`] hold the reducers' states and perform effects.
* [`forwarding`] serves callers' requests over the connections of [`connection_pool`], which keeps
  those in `pool_state`, and [`request_body`] and [`response_body`] pass on the bodies of requests and responses.
* [`operator_api`] serves operators and lookups.
* [`list_reader`] reads the platform's list of targets.
* [`decision_log`] and [`fleet_metrics`] report decisions to operators.
*/

mod body_turns;
mod caller_request;
mod connection_pool;
mod crash_file;
mod decision_log;
mod entry_shell;
mod fleet_metrics;
mod forwarding;
mod list_reader;
mod operator_api;
mod peer_forwarding;
mod pool_state;
mod replica_shell;
mod request_body;
mod response_body;
mod run_entry;
mod run_replica;
mod settings;
mod settings_watch;
mod time_limits;

pub(crate) use {
    run_entry::run_entry,
    run_replica::run_replica,
    settings::{FleetRole, FleetSettings},
};
