use super::*;

#[test]
fn names_are_split_into_values_that_are_not_too_long() {
    let names: BTreeSet<String> = (0..5).map(|number| format!("vm-{number:03}")).collect();
    // Each takes nine bytes.
    let sizes = |max_bytes: usize| split_into_values(&names, max_bytes).iter().map(Vec::len).collect::<Vec<_>>();
    assert_eq!(sizes(45), [5]);
    assert_eq!(sizes(44), [4, 1]);
    assert_eq!(sizes(18), [2, 2, 1]);
    assert_eq!(split_into_values(&BTreeSet::new(), 18), [Vec::<String>::new()]);
}

#[test]
fn the_set_is_known_once_loaded_or_determined() {
    let mut owned = OwnedMachines::default();
    owned.load_part(vec!["one".into()]);
    owned.load_part(vec!["two".into()]);
    assert!(!owned.is_known() && !owned.contains("one") && owned.count().is_none());
    owned.finish_loading();
    assert!(owned.is_known() && owned.contains("one") && !owned.contains("three"));
    assert_eq!(owned.count(), Some(2));
}
