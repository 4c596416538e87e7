use super::*;

#[test]
fn a_foreign_write_is_named_with_key_and_versions() {
    let text = |found: Option<u64>| {
        let write = ForeignWrite { key: "f/wk-1".into(), expected: Revision::ABSENT, found: found.map(Revision) };
        StepDownReason::ForeignWrite(write).to_string()
    };
    assert!(text(Some(7)).ends_with("f/wk-1 expected at version 0, found at 7"));
    assert!(text(Some(0)).ends_with("f/wk-1 expected at version 0, not there"));
    assert!(text(None).ends_with("f/wk-1 expected at version 0, not read since"));
}
