//! Numbers that identify something, each a type of its own so that none is taken for another. In
//! JSON and in binary frames they are the bare numbers.

use serde::{Deserialize, Serialize};
use std::fmt;

macro_rules! number {
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

number! {
    /// Number of a leadership. It only grows: of two leaders the one with the higher epoch is the
    /// newer, and what the other still sends is refused.
    Epoch
}

impl Epoch {
    /// Before the first leadership.
    pub const NONE: Epoch = Epoch(0);

    /// The epoch after this one.
    pub fn next(self) -> Epoch {
        Epoch(self.0 + 1)
    }
}

number! {
    /// What the wire calls `baton`: shows a machine which leader speaks, and which of that leader's
    /// commands still count. The epoch is in the high bits, the machine's own counter below it; a
    /// machine refuses whatever comes with a lower token than the highest it has seen.
    FencingToken
}

impl FencingToken {
    /// Bits below the epoch: the machine's counter.
    const COUNTER_BITS: u32 = 20;

    /// The token of an epoch for a machine whose counter is this.
    pub fn new(epoch: Epoch, counter: u64) -> FencingToken {
        FencingToken((epoch.0 << Self::COUNTER_BITS) + counter)
    }

    /// The epoch that it was made in.
    pub fn epoch(self) -> Epoch {
        Epoch(self.0 >> Self::COUNTER_BITS)
    }
}

number! {
    /// What the wire calls `shift`: the incarnation of a worker agent. It grows each time that the
    /// worker's lease runs out; what was placed in an earlier one is gone from the machine.
    AgentEpoch
}

impl AgentEpoch {
    /// Of a machine that has never reported.
    pub const NONE: AgentEpoch = AgentEpoch(0);

    /// The incarnation after this one.
    pub fn next(self) -> AgentEpoch {
        AgentEpoch(self.0 + 1)
    }
}

number! {
    /// What the wire calls `try`: one attempt at a task, or one shared by the tasks of a gang that
    /// start together. The epoch of the leader that chose it is in the high bits, that leader's
    /// counter below it, so none is used twice and a later attempt has the higher number.
    Attempt
}

impl Attempt {
    /// Bits below the epoch: the leader's counter.
    const COUNTER_BITS: u32 = 28;

    /// The attempt of an epoch with this number.
    pub fn new(epoch: Epoch, counter: u64) -> Attempt {
        Attempt((epoch.0 << Self::COUNTER_BITS) + counter)
    }
}

number! {
    /// A revision of the state service, which the wire calls `ledger`, and so the version of a key,
    /// which it calls `stamp`: the revision of its last change. It only grows, and does with each
    /// transaction that changes something.
    Revision
}

impl Revision {
    /// The version of a key that does not exist, and before the first revision.
    pub const ABSENT: Revision = Revision(0);

    /// The revision after this one.
    pub fn next(self) -> Revision {
        Revision(self.0 + 1)
    }
}
