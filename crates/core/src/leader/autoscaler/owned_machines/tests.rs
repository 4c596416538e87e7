use super::*;

#[test]
fn the_set_is_known_only_after_loading_is_finished() {
    let mut owned = OwnedMachines::default();
    owned.load_part(vec!["one".into()]);
    owned.load_part(vec!["two".into()]);
    assert!(!owned.is_known() && !owned.contains("one") && owned.count().is_none());
    owned.finish_loading();
    assert!(owned.is_known() && owned.contains("one") && !owned.contains("three"));
    assert_eq!(owned.count(), Some(2));
}
