//! A submission that lacks any one field is refused, and null is taken only where the protocol allows it.

use serde_json::{Value, json};
use shaleshunt_wire::user::Submission;

fn whole() -> Value {
    json!({"ref": "wk-1", "jobline": "x", "crew": "t", "shape": "array", "urgency": "high", "pieces": 2,
        "cores": 2.0, "cards": 0.0, "ramGb": 1.0, "bundle": "i", "imageGb": 1.0, "frames": ["f"], "hall": "a",
        "oneZone": false, "scatter": false, "borrowed": false, "expectS": 1.0, "markEveryS": 0.0,
        "markTakesS": 0.0, "dueS": 9.0, "awaits": ["wk-2"]})
}

#[test]
fn each_field_is_needed_but_those_that_may_be_null() {
    let parse = |v: &Value| Submission::parse(v.to_string().as_bytes());
    assert!(parse(&whole()).is_ok());
    let fields: Vec<String> = whole().as_object().unwrap().keys().cloned().collect();
    for field in fields {
        let may_be_null = ["frames", "hall", "dueS", "awaits"].contains(&field.as_str());
        let mut lacking = whole();
        lacking.as_object_mut().unwrap().remove(&field);
        assert_eq!(parse(&lacking).is_ok(), may_be_null, "without {field}");
        let mut null = whole();
        null[&field] = Value::Null;
        assert_eq!(parse(&null).is_ok(), may_be_null, "{field} null");
        let mut odd = whole();
        odd[&field] = json!({"odd": 1});
        assert!(parse(&odd).is_err(), "{field} an object");
    }
}
