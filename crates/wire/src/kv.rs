//! Interface of the key-value store.

use crate::Revision;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Key with its value.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct KeyValue {
    /// Name of the key.
    #[serde(rename = "path")]
    pub key: String,
    /// JSON value of the key.
    #[serde(rename = "v")]
    pub value: Value,
    /// Version of the key: the revision of its last change.
    #[serde(rename = "stamp")]
    pub version: Revision,
    /// Lease that the key is attached to, and with which it is deleted; `None` if it has none.
    #[serde(rename = "pass", default, skip_serializing_if = "Option::is_none")]
    pub lease: Option<u64>,
}

/// Page of keys.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Page {
    /// Keys in ascending order.
    pub pairs: Vec<KeyValue>,
    /// Whether further pages follow; false if absent.
    #[serde(default)]
    pub truncated: bool,
    /// Revision at which the page was read.
    #[serde(rename = "ledger")]
    pub revision: Revision,
}

/// Precondition on the version of a key; [`Revision::ABSENT`] requires that the key does not exist.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Precondition {
    /// Name of the key.
    #[serde(rename = "path")]
    pub key: String,
    /// Required version.
    #[serde(rename = "stamp")]
    pub version: Revision,
}

/// Write of a transaction.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Write {
    /// Sets a key.
    Set {
        /// Name of the key.
        #[serde(rename = "set")]
        key: String,
        /// JSON value.
        #[serde(rename = "v")]
        value: Value,
        /// Lease to attach the key to; `None` for none.
        #[serde(rename = "pass", default, skip_serializing_if = "Option::is_none")]
        lease: Option<u64>,
    },
    /// Deletes a key.
    Drop {
        /// Name of the key.
        #[serde(rename = "drop")]
        key: String,
    },
}

impl Write {
    /// Write that sets a key without a lease.
    pub fn set(key: impl Into<String>, value: Value) -> Write {
        Write::Set { key: key.into(), value, lease: None }
    }
    /// Write that deletes a key.
    pub fn delete(key: impl Into<String>) -> Write {
        Write::Drop { key: key.into() }
    }
}

/// Transaction: commits all writes if all preconditions hold, and none otherwise.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Transaction {
    /// Preconditions, all of which must hold.
    #[serde(rename = "if")]
    pub preconditions: Vec<Precondition>,
    /// Writes, committed together.
    pub writes: Vec<Write>,
}

/// Response to a transaction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TransactionReply {
    /// Keys whose preconditions failed; empty if the transaction was committed.
    #[serde(default)]
    pub failed: Vec<String>,
    /// Revision of the store after the transaction.
    #[serde(rename = "ledger")]
    pub revision: Revision,
}

/// Request for a new lease.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct LeaseRequest {
    /// Time to live without renewal, in milliseconds.
    #[serde(rename = "lifeMs")]
    pub ttl_ms: u64,
}

/// Response with a new lease.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LeaseGrant {
    /// Identifier of the lease.
    #[serde(rename = "pass")]
    pub lease: u64,
}

/// Change of a key; exactly one of `set_key` and `deleted_key` is present.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Key that was set.
    #[serde(rename = "set", default)]
    pub set_key: Option<String>,
    /// Key that was deleted.
    #[serde(rename = "drop", default)]
    pub deleted_key: Option<String>,
    /// New value of a key that was set.
    #[serde(rename = "v", default)]
    pub value: Option<Value>,
    /// Revision of the change.
    #[serde(rename = "stamp")]
    pub version: Revision,
}

/// Response to a watch.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WatchReply {
    /// Revision up to which the changes are complete.
    #[serde(rename = "ledger")]
    pub revision: Revision,
    /// Changes in the order of their revisions; empty if absent.
    #[serde(rename = "news", default)]
    pub changes: Vec<Change>,
}
