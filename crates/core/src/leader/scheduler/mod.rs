//! What the scheduler keeps between passes over the queue.

pub(crate) mod dependencies;
pub(crate) mod offloading;
pub(crate) mod placement;
pub(crate) mod preemption;
pub(crate) mod queue;

use crate::leader::scheduler::dependencies::DependencyGraph;
use crate::leader::*;
use crate::model::*;
use std::collections::*;

/// What the scheduler keeps between passes over the queue.
#[derive(Debug)]
pub(crate) struct Scheduler {
    /// Who awaits whom.
    pub(crate) dependencies: DependencyGraph,
    /// Tasks on machines by class.
    pub(crate) usage_by_class: BTreeMap<String, ClassUsage>,
    /// The order among jobs is worked out anew once a round or when jobs come or go.
    pub(crate) ranks_outdated: bool,
    pub(crate) ranks_due_at: u64,
    pub(crate) deprioritized: BTreeMap<Id, u8>,
    pub(crate) guaranteed: BTreeSet<Id>,
    /// Shorter tasks than this go to spot machines first.
    pub(crate) spot_estimate_limit: f64,
    /// CPUs of machines that cannot be taken away, and when they were counted.
    pub(crate) non_spot_cores: (u64, i64),
    /// Where the next sample of machines begins.
    pub(crate) preemption_sample_start: Option<Id>,
    pub(crate) next_pass_at: u64,
    pub(crate) usage_by_team: BTreeMap<String, Resources>,
    pub(crate) pass_wanted: bool,
    pub(crate) runtimes_by_class: BTreeMap<String, RuntimeStatistics>,
}

impl Scheduler {
    pub(crate) fn new(now: u64) -> Scheduler {
        Scheduler {
            dependencies: DependencyGraph::default(),
            usage_by_class: BTreeMap::new(),
            ranks_outdated: true,
            ranks_due_at: 0,
            deprioritized: BTreeMap::new(),
            guaranteed: BTreeSet::new(),
            spot_estimate_limit: 0.0,
            non_spot_cores: (0, 0),
            preemption_sample_start: None,
            next_pass_at: now,
            usage_by_team: BTreeMap::new(),
            pass_wanted: true,
            runtimes_by_class: BTreeMap::new(),
        }
    }
}
