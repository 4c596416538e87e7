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
