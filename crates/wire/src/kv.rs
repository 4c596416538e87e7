//! The state service's interface.

use crate::Revision;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// A key with its value.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct KeyValue {
    /// Key.
    #[serde(rename = "path")]
    pub key: String,
    /// Value.
    #[serde(rename = "v")]
    pub value: Value,
    /// Revision of its last change.
    #[serde(rename = "stamp")]
    pub version: Revision,
    /// Lease that it is attached to.
    #[serde(rename = "pass", default, skip_serializing_if = "Option::is_none")]
    pub lease: Option<u64>,
}

/// A page of keys.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Page {
    /// Keys in order.
    pub pairs: Vec<KeyValue>,
    /// Whether there is more.
    #[serde(default)]
    pub truncated: bool,
    /// Revision that the page shows.
    #[serde(rename = "ledger")]
    pub revision: Revision,
}

/// A condition on a key's version; [`Revision::ABSENT`] means that it does not exist.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Precondition {
    /// Key.
    #[serde(rename = "path")]
    pub key: String,
    /// Version.
    #[serde(rename = "stamp")]
    pub version: Revision,
}

/// A change in a transaction.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Write {
    /// Sets a key.
    Set {
        /// Key.
        #[serde(rename = "set")]
        key: String,
        /// Value.
        #[serde(rename = "v")]
        value: Value,
        /// Lease to attach it to.
        #[serde(rename = "pass", default, skip_serializing_if = "Option::is_none")]
        lease: Option<u64>,
    },
    /// Removes a key.
    Delete {
        /// Key.
        #[serde(rename = "drop")]
        key: String,
    },
}

impl Write {
    /// A `set` without a lease.
    pub fn set(key: impl Into<String>, value: Value) -> Write {
        Write::Set { key: key.into(), value, lease: None }
    }
    /// A `drop`.
    pub fn delete(key: impl Into<String>) -> Write {
        Write::Delete { key: key.into() }
    }
}

/// A transaction.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Transaction {
    /// What must hold.
    #[serde(rename = "if")]
    pub preconditions: Vec<Precondition>,
    /// What changes.
    pub writes: Vec<Write>,
}

/// Answer to a transaction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TransactionReply {
    /// Keys whose conditions failed; empty on success.
    #[serde(default)]
    pub failed: Vec<String>,
    /// Revision.
    #[serde(rename = "ledger")]
    pub revision: Revision,
}

/// Asks for a lease.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct LeaseRequest {
    /// Life without renewal.
    #[serde(rename = "lifeMs")]
    pub ttl_ms: u64,
}

/// A new lease.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LeaseGrant {
    /// Its number.
    #[serde(rename = "pass")]
    pub lease: u64,
}

/// A change seen by a watch.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Key that was set.
    #[serde(rename = "set", default)]
    pub set_key: Option<String>,
    /// Key that was removed.
    #[serde(rename = "drop", default)]
    pub deleted_key: Option<String>,
    /// Its value.
    #[serde(rename = "v", default)]
    pub value: Option<Value>,
    /// Revision of the change.
    #[serde(rename = "stamp")]
    pub version: Revision,
}

/// Answer to a watch.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WatchReply {
    /// Revision up to which the changes go.
    #[serde(rename = "ledger")]
    pub revision: Revision,
    /// Changes.
    #[serde(rename = "news", default)]
    pub changes: Vec<Change>,
}
