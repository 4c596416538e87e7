//! The names on the wire are the protocol's, whatever they are called in the code: each body is read and written
//! again without a difference.

use serde::{Serialize, de::DeserializeOwned};
use serde_json::{Value, json};
use shaleshunt_wire::Revision;
use shaleshunt_wire::cloud::{Catalog, ListPage, MachineNames, ScaleOutRequest};
use shaleshunt_wire::kv::{LeaseGrant, LeaseRequest, Page, Transaction, TransactionReply, WatchReply};
use shaleshunt_wire::user::{JobView, Submission};
use shaleshunt_wire::worker::{DirectCommands, Heartbeat, HeartbeatReply, Redirect};

fn unchanged<T: Serialize + DeserializeOwned>(body: Value) {
    let read: T = serde_json::from_value(body.clone()).unwrap();
    assert_eq!(serde_json::to_value(read).unwrap(), body);
}

#[test]
fn workers_bodies() {
    unchanged::<Heartbeat>(json!({
        "loom": "vm-1", "endpoint": "10.0.0.1:9000", "frame": "f", "hall": "a", "borrowed": true, "shift": 3,
        "tick": 8, "baton": 41, "warnS": 12.5,
        "pieces": [{"piece": "wk-1/0", "try": 2, "status": "exited", "cause": "no_room", "stored": true}]
    }));
    let commands = json!([
        {"verb": "run", "piece": "wk-1/0", "try": 1},
        {"verb": "halt", "piece": "wk-1/1", "try": 2, "windDownS": 10.0},
        {"verb": "forget", "piece": "wk-1/2", "try": 3}
    ]);
    unchanged::<HeartbeatReply>(json!({"baton": 41, "orders": commands}));
    unchanged::<DirectCommands>(json!({"baton": 41, "shift": 3, "orders": commands}));
    unchanged::<Redirect>(json!({"foreman": "n1"}));
}

#[test]
fn users_bodies() {
    unchanged::<Submission>(json!({
        "ref": "wk-1", "jobline": "x", "crew": "t", "shape": "array", "urgency": "best_effort", "pieces": 4,
        "cores": 2.0, "cards": 1.0, "ramGb": 8.0, "bundle": "i", "imageGb": 1.5, "frames": ["f"], "hall": "a",
        "oneZone": true, "scatter": false, "borrowed": true, "expectS": 30.0, "markEveryS": 5.0, "markTakesS": 1.0,
        "dueS": 90.0, "awaits": ["wk-0"]
    }));
    unchanged::<JobView>(json!({"ref": "wk-1", "status": "running", "done": 1, "running": 3}));
}

#[test]
fn clouds_bodies() {
    unchanged::<Catalog>(json!({"frames": [{
        "name": "f", "cores": 32.0, "cards": 0.0, "ramGb": 64.0, "localGb": 80.0, "fetchGbPerS": 0.5, "price": 2.0,
        "marketPrice": 0.5, "bootS": 25.0, "halls": ["a", "b"]
    }]}));
    unchanged::<ScaleOutRequest>(json!({"hire": "h-1", "frame": "f", "hall": "a", "borrowed": false, "count": 12}));
    unchanged::<MachineNames>(json!({"looms": ["vm-1", "vm-2"]}));
    unchanged::<ListPage>(json!({"truncated": false, "looms": [{
        "ref": "vm-1", "endpoint": "10.0.0.1:9000", "frame": "f", "hall": "a", "borrowed": true,
        "status": "booting", "ageS": 61.5
    }]}));
}

#[test]
fn state_services_bodies() {
    let pair = json!({"path": "a/b", "v": {"x": 1}, "stamp": 412, "pass": 7});
    unchanged::<Page>(json!({"pairs": [pair], "truncated": true, "ledger": 431}));
    unchanged::<Transaction>(json!({
        "if": [{"path": "a/b", "stamp": 0}],
        "writes": [{"set": "a/b", "v": {}, "pass": 7}, {"drop": "c/d"}]
    }));
    unchanged::<TransactionReply>(json!({"failed": ["a/b"], "ledger": 431}));
    let news: WatchReply = serde_json::from_value(json!({
        "ledger": 433, "news": [{"set": "c/9", "v": {"x": 2}, "stamp": 433}, {"drop": "c/d", "stamp": 432}]
    }))
    .unwrap();
    assert_eq!(
        (news.changes[0].version, news.changes[1].version, news.changes[1].deleted_key.as_deref()),
        (Revision(433), Revision(432), Some("c/d"))
    );
    unchanged::<LeaseRequest>(json!({"lifeMs": 5000}));
    unchanged::<LeaseGrant>(json!({"pass": 7}));
}
