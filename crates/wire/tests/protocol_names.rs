//! Names in JSON bodies are those of the protocol and independent of the names in the code: each body is decoded and
//! encoded again without a difference.

use serde::{Serialize, de::DeserializeOwned};
use serde_json::{Value, json};
use shaleshunt_wire::Revision;
use shaleshunt_wire::cloud::{Catalog, ListPage, MachineNames, ScaleOutRequest};
use shaleshunt_wire::kv::{LeaseGrant, LeaseRequest, Page, Transaction, TransactionReply, WatchReply};
use shaleshunt_wire::user::{JobView, Submission};
use shaleshunt_wire::worker::{DirectCommands, Heartbeat, HeartbeatReply, Redirect};

fn assert_roundtrip<T: Serialize + DeserializeOwned>(body: Value) {
    let decoded: T = serde_json::from_value(body.clone()).unwrap();
    assert_eq!(serde_json::to_value(decoded).unwrap(), body);
}

#[test]
fn agent_bodies_keep_protocol_names() {
    assert_roundtrip::<Heartbeat>(json!({
        "loom": "vm-1", "endpoint": "10.0.0.1:9000", "frame": "f", "hall": "a", "borrowed": true, "shift": 3,
        "tick": 8, "baton": 41, "warnS": 12.5,
        "pieces": [{"piece": "wk-1/0", "try": 2, "status": "exited", "cause": "no_room", "stored": true}]
    }));
    let commands = json!([
        {"verb": "run", "piece": "wk-1/0", "try": 1},
        {"verb": "halt", "piece": "wk-1/1", "try": 2, "windDownS": 10.0},
        {"verb": "forget", "piece": "wk-1/2", "try": 3}
    ]);
    assert_roundtrip::<HeartbeatReply>(json!({"baton": 41, "orders": commands}));
    assert_roundtrip::<DirectCommands>(json!({"baton": 41, "shift": 3, "orders": commands}));
    assert_roundtrip::<Redirect>(json!({"foreman": "n1"}));
}

#[test]
fn user_bodies_keep_protocol_names() {
    assert_roundtrip::<Submission>(json!({
        "ref": "wk-1", "jobline": "x", "crew": "t", "shape": "array", "urgency": "best_effort", "pieces": 4,
        "cores": 2.0, "cards": 1.0, "ramGb": 8.0, "bundle": "i", "imageGb": 1.5, "frames": ["f"], "hall": "a",
        "oneZone": true, "scatter": false, "borrowed": true, "expectS": 30.0, "markEveryS": 5.0, "markTakesS": 1.0,
        "dueS": 90.0, "awaits": ["wk-0"]
    }));
    assert_roundtrip::<JobView>(json!({"ref": "wk-1", "status": "running", "done": 1, "running": 3}));
}

#[test]
fn cloud_bodies_keep_protocol_names() {
    assert_roundtrip::<Catalog>(json!({"frames": [{
        "name": "f", "cores": 32.0, "cards": 0.0, "ramGb": 64.0, "localGb": 80.0, "fetchGbPerS": 0.5, "price": 2.0,
        "marketPrice": 0.5, "bootS": 25.0, "halls": ["a", "b"]
    }]}));
    assert_roundtrip::<ScaleOutRequest>(
        json!({"hire": "h-1", "frame": "f", "hall": "a", "borrowed": false, "count": 12}),
    );
    assert_roundtrip::<MachineNames>(json!({"looms": ["vm-1", "vm-2"]}));
    assert_roundtrip::<ListPage>(json!({"truncated": false, "looms": [{
        "ref": "vm-1", "endpoint": "10.0.0.1:9000", "frame": "f", "hall": "a", "borrowed": true,
        "status": "booting", "ageS": 61.5
    }]}));
}

#[test]
fn store_bodies_keep_protocol_names() {
    let pair = json!({"path": "a/b", "v": {"x": 1}, "stamp": 412, "pass": 7});
    assert_roundtrip::<Page>(json!({"pairs": [pair], "truncated": true, "ledger": 431}));
    assert_roundtrip::<Transaction>(json!({
        "if": [{"path": "a/b", "stamp": 0}],
        "writes": [{"set": "a/b", "v": {}, "pass": 7}, {"drop": "c/d"}]
    }));
    assert_roundtrip::<TransactionReply>(json!({"failed": ["a/b"], "ledger": 431}));
    let reply: WatchReply = serde_json::from_value(json!({
        "ledger": 433, "news": [{"set": "c/9", "v": {"x": 2}, "stamp": 433}, {"drop": "c/d", "stamp": 432}]
    }))
    .unwrap();
    assert_eq!(
        (reply.changes[0].version, reply.changes[1].version, reply.changes[1].deleted_key.as_deref()),
        (Revision(433), Revision(432), Some("c/d"))
    );
    assert_roundtrip::<LeaseRequest>(json!({"lifeMs": 5000}));
    assert_roundtrip::<LeaseGrant>(json!({"pass": 7}));
}
