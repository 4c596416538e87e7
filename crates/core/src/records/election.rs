//! Stored form of the two election records: the leader key and the epoch key.

use serde_json::{Value, json};
use shaleshunt_wire::Epoch;

/// Value of the leader key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct LeaderRecord {
    /// Node name of the leader; empty if the record has none.
    pub node: String,
    /// The lease that the leader key is attached to; `None` if the record names none.
    pub lease: Option<u64>,
}

impl LeaderRecord {
    /// Decodes a stored value. Fields that are missing or of another type count as absent.
    pub fn from_value(value: &Value) -> LeaderRecord {
        LeaderRecord { node: value["node"].as_str().unwrap_or_default().to_string(), lease: value["pass"].as_u64() }
    }

    /// Encodes the record for storage.
    pub fn to_value(&self) -> Value {
        json!({"node": self.node, "pass": self.lease})
    }
}

/// Decodes the value of the epoch key; [`Epoch::NONE`] if the value holds no number.
pub(crate) fn epoch_from_value(value: &Value) -> Epoch {
    Epoch(value["epoch"].as_u64().unwrap_or(0))
}

/// Encodes the value of the epoch key for an epoch that `node` claims.
pub(crate) fn epoch_to_value(epoch: Epoch, node: &str) -> Value {
    json!({"epoch": epoch, "node": node})
}
