//! The election's two records in the key-value store, as they are stored.

use serde_json::{Value, json};
use shaleshunt_wire::Epoch;

/// Value of the leader's key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct LeaderRecord {
    /// Name of the leader's node; empty if the record has none.
    pub node: String,
    /// The lease that the key is attached to.
    pub lease: Option<u64>,
}

impl LeaderRecord {
    /// Reads a stored value; what is missing or of another type counts as not given.
    pub fn from_value(value: &Value) -> LeaderRecord {
        LeaderRecord { node: value["node"].as_str().unwrap_or_default().to_string(), lease: value["pass"].as_u64() }
    }

    /// The value to store.
    pub fn to_value(&self) -> Value {
        json!({"node": self.node, "pass": self.lease})
    }
}

/// The epoch in a stored value; none if the value names no number.
pub(super) fn epoch_from_value(value: &Value) -> Epoch {
    Epoch(value["epoch"].as_u64().unwrap_or(0))
}

/// The value to store for an epoch that a node claims.
pub(super) fn epoch_to_value(epoch: Epoch, node: &str) -> Value {
    json!({"epoch": epoch, "node": node})
}
