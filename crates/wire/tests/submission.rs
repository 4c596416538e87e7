//! Parsing of submissions with missing, null and mistyped fields.

use serde_json::{Value, json};
use shaleshunt_wire::user::Submission;

fn complete() -> Value {
    json!({"ref": "wk-1", "jobline": "x", "crew": "t", "shape": "array", "urgency": "high", "pieces": 2,
        "cores": 2.0, "cards": 0.0, "ramGb": 1.0, "bundle": "i", "imageGb": 1.0, "frames": ["f"], "hall": "a",
        "oneZone": false, "scatter": false, "borrowed": false, "expectS": 1.0, "markEveryS": 0.0,
        "markTakesS": 0.0, "dueS": 9.0, "awaits": ["wk-2"]})
}

#[test]
fn submission_is_rejected_if_a_required_field_is_missing_or_null_or_any_field_is_mistyped() {
    let parse = |v: &Value| Submission::parse(v.to_string().as_bytes());
    assert!(parse(&complete()).is_ok());
    let fields: Vec<String> = complete().as_object().unwrap().keys().cloned().collect();
    for field in fields {
        let is_nullable = ["frames", "hall", "dueS", "awaits"].contains(&field.as_str());
        let mut missing = complete();
        missing.as_object_mut().unwrap().remove(&field);
        assert_eq!(parse(&missing).is_ok(), is_nullable, "without {field}");
        let mut null = complete();
        null[&field] = Value::Null;
        assert_eq!(parse(&null).is_ok(), is_nullable, "{field} is null");
        let mut mistyped = complete();
        mistyped[&field] = json!({"odd": 1});
        assert!(parse(&mistyped).is_err(), "{field} is an object");
    }
}
