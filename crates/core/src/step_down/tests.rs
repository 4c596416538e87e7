use super::*;

#[test]
fn foreign_write_is_described_with_key_and_versions() {
    let text = |found: Option<u64>| {
        let write = ForeignWrite { key: "f/wk-1".into(), expected: Revision::ABSENT, found: found.map(Revision) };
        StepDownReason::ForeignWrite(write).to_string()
    };
    assert!(text(Some(7)).ends_with("f/wk-1 expected at version 0, found at version 7"));
    assert!(text(Some(0)).ends_with("f/wk-1 expected at version 0, key does not exist"));
    assert!(text(None).ends_with("f/wk-1 expected at version 0, current version not read"));
}
