/*!
Publications: versions of the object set, replaced by compare-and-set on the version.
*/

use {
    hemlockspool_model::{
        api::PublishOutcome,
        delta::SetDelta,
        names::{ConfigVersion, OperatorName, RequestTag},
        set::ObjectSet,
        validation::SetError,
    },
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, VecDeque},
        sync::Arc,
    },
};

/// The maximum number of outcomes kept for retries.
const OUTCOMES_RETAINED: usize = 2_048;
/// The maximum number of version steps kept.
const STEPS_RETAINED: usize = 512;
/// The maximum number of objects in all kept version steps.
const STEP_OBJECTS_RETAINED: usize = 20_000;
/// The maximum number of change lines in one outcome or audit record.
pub(crate) const CHANGED_LINES_MAX: usize = 200;

/// A publication of an operator, submitted by an entry and checked by the leader.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PublishCommand {
    /// The tag chosen by the sender; a retry with the same tag gets the first outcome again.
    pub request: RequestTag,
    /// The operator who publishes.
    pub operator: Option<OperatorName>,
    /// The version that the change is based on.
    pub base: ConfigVersion,
    /// The change, or `None` if the entry didn't have the base version.
    pub delta: Option<SetDelta>,
    /// The errors that the leader found in the resulting set; empty if the base isn't the current
    /// version or there is no delta.
    pub faults: Vec<SetError>,
}

/// A version and the change that produced it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct VersionStep {
    /// The version.
    pub version: ConfigVersion,
    /// The change from the previous version.
    pub delta: SetDelta,
}

/// The current set, the latest steps that led to it, and outcomes kept for retries.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(from = "StoredPublications", into = "StoredPublications")]
pub struct PublicationStore {
    pub(crate) version: ConfigVersion,
    pub(crate) set: Arc<ObjectSet>,
    steps: VecDeque<VersionStep>,
    answers: BTreeMap<RequestTag, PublishOutcome>,
    answer_order: VecDeque<RequestTag>,
}

/// The encoded form of a [`PublicationStore`].
#[derive(Clone, Deserialize, Serialize)]
struct StoredPublications {
    version: ConfigVersion,
    set: ObjectSet,
    steps: VecDeque<VersionStep>,
    answers: BTreeMap<RequestTag, PublishOutcome>,
    answer_order: VecDeque<RequestTag>,
}

impl PublicationStore {
    /// Returns the steps from a version to the current one, or `None` if some of them are no longer
    /// kept or the version is higher than the current one.
    pub fn steps_since(&self, from: ConfigVersion) -> Option<Vec<VersionStep>> {
        if from == self.version {
            return Some(Vec::new());
        }
        let first = self.steps.iter().position(|step| step.version == from.next())?;
        Some(self.steps.iter().skip(first).cloned().collect())
    }

    /// Returns the outcome of an earlier publication with the same request tag, if it is kept.
    /// [`PublishOutcome::Behind`] is not, so a retry is evaluated again.
    pub(crate) fn previous_outcome(&self, request: &RequestTag) -> Option<&PublishOutcome> {
        self.answers.get(request)
    }

    pub(crate) fn publish(&mut self, command: PublishCommand) -> PublishOutcome {
        if command.base != self.version {
            let outcome = self.conflict(command.base);
            self.remember_outcome(command.request, outcome.clone());
            return outcome;
        }
        let Some(delta) = command.delta else {
            return PublishOutcome::Behind { current: self.version };
        };
        if !command.faults.is_empty() {
            let outcome = PublishOutcome::Faulty { faults: command.faults };
            self.remember_outcome(command.request, outcome.clone());
            return outcome;
        }
        delta.apply(Arc::make_mut(&mut self.set));
        self.version = self.version.next();
        self.push_step(VersionStep { version: self.version, delta });
        let outcome = PublishOutcome::Accepted { version: self.version };
        self.remember_outcome(command.request, outcome.clone());
        outcome
    }

    fn conflict(&self, base: ConfigVersion) -> PublishOutcome {
        let steps = self.steps_since(base).unwrap_or_default();
        let lines = steps.iter().flat_map(|step| step.delta.summary_lines());
        let changed = lines.take(CHANGED_LINES_MAX).collect();
        PublishOutcome::Conflict { current: self.version, changed }
    }

    fn push_step(&mut self, step: VersionStep) {
        self.steps.push_back(step);
        trim_steps(&mut self.steps, STEPS_RETAINED, STEP_OBJECTS_RETAINED);
    }

    fn remember_outcome(&mut self, request: RequestTag, outcome: PublishOutcome) {
        self.answers.insert(request.clone(), outcome);
        self.answer_order.push_back(request);
        while self.answer_order.len() > OUTCOMES_RETAINED {
            if let Some(oldest) = self.answer_order.pop_front() {
                self.answers.remove(&oldest);
            }
        }
    }
}

/// Removes the oldest steps until at most `steps_max` steps with at most `objects_max` objects
/// remain.
pub(crate) fn trim_steps(steps: &mut VecDeque<VersionStep>, steps_max: usize, objects_max: usize) {
    let mut objects: usize = steps.iter().map(|step| step.delta.len()).sum();
    while steps.len() > steps_max || (objects > objects_max && !steps.is_empty()) {
        objects -= steps.pop_front().map_or(0, |step| step.delta.len());
    }
}

impl From<StoredPublications> for PublicationStore {
    fn from(stored: StoredPublications) -> Self {
        let StoredPublications { version, set, steps, answers, answer_order } = stored;
        Self { version, set: Arc::new(set), steps, answers, answer_order }
    }
}

impl From<PublicationStore> for StoredPublications {
    fn from(store: PublicationStore) -> Self {
        let PublicationStore { version, set, steps, answers, answer_order } = store;
        let set = Arc::unwrap_or_clone(set);
        Self { version, set, steps, answers, answer_order }
    }
}
