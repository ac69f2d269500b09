/*!
The decision logic of a hemlockspool node, without any I/O.

A node is a state and a reducer: [`NodeState::reduce`](reducer::NodeState::reduce) takes an event
with a clock reading and returns effects as data. The decisions of a node (which replica leads,
which version is in force, whether and where a request runs) are made in this crate, and can be
tested there with lost, delayed, duplicated and reordered events.

* [`consensus`] is the replicated log; [`ledger`] is the state machine that applies its commands;
  [`replica`] combines the two.
* `submit` sends commands from any instance to the leader.
* [`config_sync`] distributes configuration versions to all instances.
* [`quotas`] computes a failure domain's quotas; [`domain`] splits them among its entries.
* [`steering`] selects the entries for a caller's lookup and for forwarding to another failure
  domain.
* [`targets`] tracks the health and load of targets; [`requests`] admits, places and retries
  requests.
* [`operators`] handles operators' publications and changes of the replicas.
* [`reducer`] routes events to all of these; [`effect`] defines its outputs, [`wire`] the messages
  between instances, [`log_events`] the events that a node logs.
* [`fleet`] holds the states of entries and replicas in deployments whose targets are discovered at
  run time. They have reducers of their own, with the same effects and messages.
* [`traffic`] decides about requests at an entry of a fleet; [`ack_watch`] about the connections that
  carry them.
*/

pub mod ack_watch;
pub mod clock;
pub mod config_sync;
pub mod consensus;
pub mod domain;
pub mod effect;
pub mod fleet;
pub mod identity;
pub mod ledger;
pub mod log_events;
pub mod machine_clock;
pub mod operators;
pub mod quotas;
pub mod reducer;
pub mod replica;
pub mod requests;
pub mod steering;
mod submit;
pub mod targets;
pub mod traffic;
pub mod util;
pub mod wire;
