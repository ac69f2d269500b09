/*!
Publications: one set after another, by compare-and-set on the version.
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

/// Requests whose answers are kept for resends.
const ANSWERS_RETAINED: usize = 2_048;
/// Versions whose deltas are kept.
const STEPS_RETAINED: usize = 512;
/// Objects within kept deltas, at most.
const STEP_OBJECTS_RETAINED: usize = 20_000;
/// Lines about changes in one answer or audit record.
pub(crate) const CHANGED_LINES_MAX: usize = 200;

/// An operator's publication, as an entry passes it on.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PublishCommand {
    /// Chosen by the sender; a resend under it gets the first answer.
    pub request: RequestTag,
    /// Who asks.
    pub operator: Option<OperatorName>,
    /// The version that the change was made from.
    pub base: ConfigVersion,
    /// The change; none when the entry didn't have the base.
    pub delta: Option<SetDelta>,
    /// What the leader's check found.
    pub faults: Vec<SetError>,
}

/// A version and the change that led to it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct VersionStep {
    /// The version.
    pub version: ConfigVersion,
    /// The change from the version before.
    pub delta: SetDelta,
}

/// The set that stands, the steps that led there, and answers kept for resends.
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
    /// Returns the steps from a version to the one that stands; none when they aren't all kept.
    pub fn steps_since(&self, from: ConfigVersion) -> Option<Vec<VersionStep>> {
        if from == self.version {
            return Some(Vec::new());
        }
        let first = self.steps.iter().position(|step| step.version == from.next())?;
        Some(self.steps.iter().skip(first).cloned().collect())
    }

    /// Returns the answer that a request got before.
    pub(crate) fn previous_outcome(&self, request: &RequestTag) -> Option<&PublishOutcome> {
        self.answers.get(request)
    }

    pub(crate) fn publish(&mut self, command: PublishCommand) -> PublishOutcome {
        if command.base != self.version {
            let answer = self.conflict(command.base);
            self.keep_answer(command.request, answer.clone());
            return answer;
        }
        let Some(delta) = command.delta else {
            return PublishOutcome::Behind { current: self.version };
        };
        if !command.faults.is_empty() {
            let answer = PublishOutcome::Faulty { faults: command.faults };
            self.keep_answer(command.request, answer.clone());
            return answer;
        }
        delta.apply(Arc::make_mut(&mut self.set));
        self.version = self.version.next();
        self.keep_step(VersionStep { version: self.version, delta });
        let answer = PublishOutcome::Accepted { version: self.version };
        self.keep_answer(command.request, answer.clone());
        answer
    }

    fn conflict(&self, base: ConfigVersion) -> PublishOutcome {
        let steps = self.steps_since(base).unwrap_or_default();
        let lines = steps.iter().flat_map(|step| step.delta.summary_lines());
        let changed = lines.take(CHANGED_LINES_MAX).collect();
        PublishOutcome::Conflict { current: self.version, changed }
    }

    fn keep_step(&mut self, step: VersionStep) {
        self.steps.push_back(step);
        trim_steps(&mut self.steps, STEPS_RETAINED, STEP_OBJECTS_RETAINED);
    }

    fn keep_answer(&mut self, request: RequestTag, answer: PublishOutcome) {
        self.answers.insert(request.clone(), answer);
        self.answer_order.push_back(request);
        while self.answer_order.len() > ANSWERS_RETAINED {
            if let Some(oldest) = self.answer_order.pop_front() {
                self.answers.remove(&oldest);
            }
        }
    }
}

/// Drops the oldest steps beyond a number of steps or of objects in them.
pub(crate) fn trim_steps(steps: &mut VecDeque<VersionStep>, most: usize, objects_most: usize) {
    let mut objects: usize = steps.iter().map(|step| step.delta.len()).sum();
    while steps.len() > most || (objects > objects_most && !steps.is_empty()) {
        objects -= steps.pop_front().map_or(0, |step| step.delta.len());
    }
}

impl From<StoredPublications> for PublicationStore {
    fn from(book: StoredPublications) -> Self {
        let StoredPublications { version, set, steps, answers, answer_order } = book;
        Self { version, set: Arc::new(set), steps, answers, answer_order }
    }
}

impl From<PublicationStore> for StoredPublications {
    fn from(book: PublicationStore) -> Self {
        let PublicationStore { version, set, steps, answers, answer_order } = book;
        let set = Arc::unwrap_or_clone(set);
        Self { version, set, steps, answers, answer_order }
    }
}
