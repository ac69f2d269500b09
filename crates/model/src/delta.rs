/*!
The difference between two sets of objects.

A delta is what a publication carries, what instances pass on to each other, and what the audit
trail shows; its size goes with the change and not with the set.
*/

use {
    crate::{
        objects::{DeclaredObject, ObjectKey},
        set::ObjectSet,
    },
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// The number of objects put in from which on it is worth sharing the names that they repeat.
const SHARED_FROM: usize = 1_000;

/// The objects to put in and to take out.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct SetDelta {
    /// Objects that are new or changed.
    pub upserts: Vec<DeclaredObject>,
    /// Identities of objects that go.
    pub removals: Vec<ObjectKey>,
}

impl SetDelta {
    /// Returns what leads from one set to another.
    pub fn between(from: &ObjectSet, to: &ObjectSet) -> Self {
        let mut old: BTreeMap<ObjectKey, DeclaredObject> =
            from.objects().into_iter().map(|object| (object.key(), object)).collect();
        let mut upserts = Vec::new();
        for object in to.objects() {
            if old.remove(&object.key()).as_ref() != Some(&object) {
                upserts.push(object);
            }
        }
        let removals = old.into_keys().collect();
        Self { upserts, removals }
    }

    /// Applies the delta to a set.
    pub fn apply(&self, set: &mut ObjectSet) {
        for key in &self.removals {
            set.remove(key);
        }
        for object in &self.upserts {
            set.upsert(object.clone());
        }
        if self.upserts.len() > SHARED_FROM {
            set.intern_names();
        }
    }

    /// Returns how many objects the delta touches.
    pub fn len(&self) -> usize {
        self.upserts.len() + self.removals.len()
    }

    /// Tells whether the delta changes nothing.
    pub fn is_empty(&self) -> bool {
        self.upserts.is_empty() && self.removals.is_empty()
    }

    /// Returns a line for each object, marked `+` when put in and `-` when taken out.
    pub fn summary_lines(&self) -> Vec<String> {
        let upserts = self.upserts.iter().map(|object| format!("+ {}", object.key()));
        let removals = self.removals.iter().map(|key| format!("- {key}"));
        upserts.chain(removals).collect()
    }
}
