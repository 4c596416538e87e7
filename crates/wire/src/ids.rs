//! Numeric identifiers, each with a type of its own so that one cannot be used in place of another. In JSON and in
//! binary frames they are plain numbers.

use serde::{Deserialize, Serialize};
use std::fmt;

macro_rules! numeric_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    };
}

numeric_id! {
    /// Leader epoch, which grows with each election. Of two leaders the one with the higher epoch is the newer, and the
    /// messages of the other are rejected.
    Epoch
}

impl Epoch {
    /// Epoch before the first election.
    pub const NONE: Epoch = Epoch(0);

    /// Next epoch.
    pub fn next(self) -> Epoch {
        Epoch(self.0 + 1)
    }
}

numeric_id! {
    /// Fencing token, called `baton` in the protocol. It identifies the leader and the state of its command channel to a
    /// machine. The high bits are the leader epoch, the low bits a counter per machine; an agent rejects commands with
    /// a token that is lower than the highest that it has seen.
    FencingToken
}

impl FencingToken {
    /// Width of the counter per machine, below the epoch.
    const COUNTER_BITS: u32 = 20;

    /// Highest counter of a machine: with a higher one, the token would be of the next epoch.
    pub const MAX_COUNTER: u64 = (1 << Self::COUNTER_BITS) - 1;

    /// Token of a leader epoch and a machine's counter. A counter above [`FencingToken::MAX_COUNTER`] counts as that.
    pub fn new(epoch: Epoch, counter: u64) -> FencingToken {
        FencingToken((epoch.0 << Self::COUNTER_BITS) + counter.min(Self::MAX_COUNTER))
    }

    /// The machine's counter.
    pub fn counter(self) -> u64 {
        self.0 & Self::MAX_COUNTER
    }

    /// Leader epoch in which the token was issued.
    pub fn epoch(self) -> Epoch {
        Epoch(self.0 >> Self::COUNTER_BITS)
    }
}

numeric_id! {
    /// Agent epoch, called `shift` in the protocol. It grows each time that the machine lease expires; tasks that were
    /// placed in an earlier agent epoch are no longer on the machine.
    AgentEpoch
}

impl AgentEpoch {
    /// Agent epoch of a machine that has never sent a heartbeat.
    pub const NONE: AgentEpoch = AgentEpoch(0);

    /// Next agent epoch.
    pub fn next(self) -> AgentEpoch {
        AgentEpoch(self.0 + 1)
    }
}

numeric_id! {
    /// Attempt at a task, called `try` in the protocol. Tasks of a gang that start together share an attempt. The high
    /// bits are the epoch of the leader that chose it, the low bits a counter of that leader, so attempts are unique
    /// and a later attempt has the higher number.
    Attempt
}

impl Attempt {
    /// Width of the leader's counter, below the epoch.
    const COUNTER_BITS: u32 = 28;

    /// Highest counter of a leader: with a higher one, the attempt would be of the next epoch.
    pub const MAX_COUNTER: u64 = (1 << Self::COUNTER_BITS) - 1;

    /// Attempt of a leader epoch and the leader's counter. A counter above [`Attempt::MAX_COUNTER`] counts as that.
    pub fn new(epoch: Epoch, counter: u64) -> Attempt {
        Attempt((epoch.0 << Self::COUNTER_BITS) + counter.min(Self::MAX_COUNTER))
    }

    /// Epoch of the leader that chose the attempt.
    pub fn epoch(self) -> Epoch {
        Epoch(self.0 >> Self::COUNTER_BITS)
    }
}

numeric_id! {
    /// Revision of the key-value store, called `ledger` in the protocol, and version of a key, called `stamp`: the
    /// revision of the key's last change. It grows with each transaction that changes a key.
    Revision
}

impl Revision {
    /// Version of a key that does not exist; also the revision before the first change.
    pub const ABSENT: Revision = Revision(0);

    /// Next revision.
    pub fn next(self) -> Revision {
        Revision(self.0 + 1)
    }
}
