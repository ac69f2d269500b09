/*!
Instances whose routes, targets and peers are found at run time.

A fleet has replicas, which hold what operators publish and read the platform's list of targets, and
entries, which carry requests. An instance knows a few addresses of replicas and nothing else of the
others.

* [`replica`] is the state of a replica; `membership` keeps its group whole.
* [`entry`] is the state of an entry; [`crate::traffic`] decides about requests.
* [`entry_registry`] is who lives; [`roster`] is the list of targets, and `list_schedule` is when it is read.
* [`routes`] finds the route of a request; [`compressed_table`] is how a table travels.
* `loads` gathers what targets tell of their load, and [`outages`] which can't be reached.
* [`messages`] is what travels between them; [`decision_events`] is what they log.
*/

pub mod compressed_table;
pub mod decision_events;
pub mod entry;
pub mod entry_registry;
mod list_schedule;
mod loads;
pub(crate) mod membership;
pub mod messages;
pub mod outages;
pub mod replica;
pub mod roster;
pub mod routes;
