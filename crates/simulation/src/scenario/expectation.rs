//! Expectations that a scenario states about the end of its simulation. Points in time (`by_s`) are in seconds since
//! the simulation started.

/// An expected number, or a bound for it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Count {
    /// Exactly this number.
    Exactly(u64),
    /// This number or more.
    AtLeast(u64),
    /// This number or less.
    AtMost(u64),
}

impl Count {
    /// Whether a number meets the expectation.
    pub(super) fn allows(self, count: u64) -> bool {
        match self {
            Count::Exactly(wanted) => count == wanted,
            Count::AtLeast(least) => count >= least,
            Count::AtMost(most) => count <= most,
        }
    }
}

/// A condition that must hold when the simulation ends.
#[derive(Debug, Clone, PartialEq)]
pub enum Expectation {
    /// A user was told that a job is done.
    Done {
        /// Name of the job.
        job: String,
        /// Latest time of this answer; `None` accepts any time.
        by_s: Option<f64>,
    },
    /// A job is done and the last of its tasks completed by a given time. The user may learn this from a later status
    /// query.
    TasksComplete {
        /// Name of the job.
        job: String,
        /// Latest allowed time.
        by_s: f64,
    },
    /// The first task of a job started by a given time.
    Started {
        /// Name of the job.
        job: String,
        /// Latest allowed time.
        by_s: f64,
    },
    /// At least half of the jobs of each class, of each team and of each class's largest tenth are done, or are
    /// services that run with all replicas. Jobs that their users cancel don't count.
    HalfServed,
    /// Every job that its user does not cancel is done, or is a service that runs with all replicas.
    AllServed,
    /// Every job has a final status, except for services that nobody cancels.
    AllOver,
    /// A user was told that a job is cancelled.
    Cancelled {
        /// Name of the job.
        job: String,
    },
    /// No user was told a final status of a job.
    NotOver {
        /// Name of the job.
        job: String,
    },
    /// Exactly the given number of a job's tasks are on machines.
    Running {
        /// Name of the job.
        job: String,
        /// Exact number of tasks.
        tasks: u64,
    },
    /// Number of task starts during the simulation.
    Starts(Count),
    /// The time between two consecutive answers about a job never exceeds a limit.
    Answered {
        /// Name of the job.
        job: String,
        /// Maximum time between two answers, in seconds.
        within_s: f64,
    },
    /// A submission was refused with an HTTP status.
    Refused {
        /// Name of the job.
        job: String,
        /// Expected HTTP status.
        status: u16,
    },
    /// Number of requests that the key-value store rejected because they exceeded its limits.
    StoreRejections(Count),
    /// No task started later than a given time after its job's cancellation was confirmed.
    LateStarts {
        /// Maximum time between confirmation and start, in seconds.
        within_s: f64,
    },
    /// Number of jobs whose users were told that they are cancelled.
    Cancellations(Count),
    /// The highest leader epoch, which counts the elections.
    Epoch(Count),
    /// The largest tenth of each class's jobs started within a given time after submission.
    LargestStarted {
        /// Maximum time between submission and first start, in seconds.
        within_s: f64,
    },
    /// Number of controllers that lead.
    Leaders(Count),
    /// Number of direct calls that controllers made to agents.
    DirectCalls(Count),
    /// Number of times that a leader found a zone partitioned.
    IsolatedZones(Count),
    /// Number of keys with a given prefix in the key-value store.
    Stored {
        /// Prefix of the keys.
        prefix: String,
        /// Expected number of keys.
        keys: Count,
    },
    /// Number of machines that run.
    Machines(Count),
}
