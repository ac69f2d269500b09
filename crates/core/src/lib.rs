/*!
The decisions of a hemlockspool node, without any I/O.

A node is one state and one reducer: [`NodeState::reduce`](reducer::NodeState::reduce) takes an event
with a reading of the clocks and returns effects as data. Whatever a node decides (who leads, which
version is in force, where a request runs, what is refused) is decided in this crate, and can be
tried there with lost, late, doubled and reordered events.

* [`consensus`] is the replicated log; [`ledger`] is what it decides; [`replica`] joins the two.
* `submit` carries commands from entries to the leader.
* [`config_sync`] brings each version into force everywhere.
* [`domain`] splits what a failure domain has among its entries; [`quotas`] holds the domain's parts.
* [`steering`] answers look-ups.
* [`targets`] judges targets; [`requests`] admits, places, retries and ends requests.
* [`operators`] takes operators' calls.
* [`fleet`] has the states of entries and replicas whose targets are found at run time.
* [`traffic`] decides about requests at an entry of a fleet.
* [`reducer`] routes events to all of these; [`effect`] is what comes out; [`wire`] is what travels.
*/

pub mod clock;
pub mod config_sync;
pub mod consensus;
pub mod domain;
pub mod effect;
pub mod fleet;
pub mod identity;
pub mod ledger;
pub mod log_events;
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
