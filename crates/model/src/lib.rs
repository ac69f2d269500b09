/*!
The shared vocabulary of hemlockspool: what operators declare, how a whole set is checked, and the
bodies that operators and callers exchange with an entry over HTTP.

This crate does no I/O and reads no clock. It is the only crate that both binaries need, so that
`hemlockspool check` refuses exactly what a running deployment would refuse.

* [`names`] gives each kind of object a name type of its own.
* [`objects`] holds the declared objects and [`set`] the whole of them at one version.
* [`delta`] is the difference between two sets, which is what travels and what an audit shows.
* [`check`] judges a whole set and names every fault.
* [`declaration`] reads objects from JSON text.
* [`table`] is the route table, for deployments whose targets are found at run time; [`span`] reads
  the durations in it.
* [`api`] holds HTTP bodies and header names.

# Example

```
use hemlockspool_model::{check, declaration, set::ObjectSet};

let text = r#"[{"region": {"name": "gauteng"}}]"#;
let mut set = ObjectSet::default();
for object in declaration::parse(text).unwrap() {
    set.upsert(object);
}
assert!(check::faults(&set).is_empty());
```
*/

pub mod api;
pub mod check;
pub mod declaration;
pub mod delta;
pub mod names;
pub mod objects;
pub mod set;
mod shared_blocks;
pub mod span;
pub mod table;
