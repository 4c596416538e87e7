//! What a scenario expects at its end. Times are in seconds since the beginning.

/// An exact number, or a bound of it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Count {
    /// So many.
    Exactly(u64),
    /// No fewer.
    AtLeast(u64),
    /// No more.
    AtMost(u64),
}

impl Count {
    pub(super) fn allows(self, count: u64) -> bool {
        match self {
            Count::Exactly(wanted) => count == wanted,
            Count::AtLeast(least) => count >= least,
            Count::AtMost(most) => count <= most,
        }
    }
}

/// An expectation.
#[derive(Debug, Clone, PartialEq)]
pub enum Expectation {
    /// A user was told that a job is done, by a time if one is given.
    Done {
        /// The job.
        job: String,
        /// The time.
        by_s: Option<f64>,
    },
    /// All tasks of a job that is done had completed by then; its user may learn of it with a later poll.
    TasksComplete {
        /// The job.
        job: String,
        /// The time.
        by_s: f64,
    },
    /// A job's first task had started by then.
    Started {
        /// The job.
        job: String,
        /// The time.
        by_s: f64,
    },
    /// At least half of each class, of each team and of each class's largest jobs is served.
    HalfServed,
    /// Every job that is not cancelled is served.
    AllServed,
    /// Every job is over, except for services that nobody cancels.
    AllOver,
    /// A user was told that a job is cancelled.
    Cancelled {
        /// The job.
        job: String,
    },
    /// No user was told that a job is over.
    NotOver {
        /// The job.
        job: String,
    },
    /// So many of a job's tasks are on machines.
    Running {
        /// The job.
        job: String,
        /// How many.
        tasks: u64,
    },
    /// So many starts of tasks.
    Starts(Count),
    /// No two answers about a job are further apart.
    Answered {
        /// The job.
        job: String,
        /// How far.
        within_s: f64,
    },
    /// A submission was refused with an HTTP status.
    Refused {
        /// The job.
        job: String,
        /// The status.
        status: u16,
    },
    /// So many requests that the key-value store rejected as too large.
    StoreRejections(Count),
    /// No task started longer after its job was confirmed as cancelled.
    LateStarts {
        /// How long.
        within_s: f64,
    },
    /// So many jobs whose users were told that they are cancelled.
    Cancellations(Count),
    /// So many elections.
    Epoch(Count),
    /// The largest jobs of each class started no longer after their submission.
    LargestStarted {
        /// How long.
        within_s: f64,
    },
    /// So many controllers lead.
    Leaders(Count),
    /// So many direct calls to agents.
    DirectCalls(Count),
    /// How often a leader took a zone for cut off.
    IsolatedZones(Count),
    /// So many keys with a prefix in the key-value store.
    Stored {
        /// The prefix.
        prefix: String,
        /// How many keys.
        keys: Count,
    },
    /// So many machines are up.
    Machines(Count),
}
