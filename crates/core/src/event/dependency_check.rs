//! The event about a decision that rests on the states of a job's dependencies.

use super::fields::{Field, field};
use crate::model::Id;

/// What a controller knew of a job's dependencies when it decided a user's question.
#[derive(Debug, Clone, PartialEq)]
pub struct DependencyCheck {
    /// Identifier of the job.
    pub job: Id,
    /// Whether a dependency is cancelled.
    pub any_cancelled: bool,
    /// Number of dependencies examined, direct and transitive.
    pub examined: usize,
    /// Age of the oldest confirmation that an examined dependency is unfinished, in seconds; 0 if all have ended.
    pub oldest_confirmation_s: f64,
}

impl DependencyCheck {
    pub(super) fn fields(&self) -> Vec<Field<'_>> {
        vec![
            field("job", &*self.job),
            field("any_cancelled", self.any_cancelled),
            field("examined", self.examined),
            field("oldest_confirmation_s", self.oldest_confirmation_s),
        ]
    }
}
