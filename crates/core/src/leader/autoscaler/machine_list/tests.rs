use super::*;
use crate::leader::scheduler::fixture::Fixture;

fn page(ids: &[&str], truncated: bool) -> ListPage {
    let listed = |id: &&str| ListedMachine {
        id: id.to_string(),
        endpoint: String::new(),
        machine_type: "std".into(),
        zone: "a".into(),
        spot: false,
        status: ListedMachineStatus::Running,
        age_s: 0.0,
    };
    ListPage { machines: ids.iter().map(listed).collect(), truncated }
}

#[test]
fn pages_are_asked_for_one_after_the_other_until_the_list_is_whole() {
    let set = Fixture::new().settings;
    let owned = OwnedMachines::default();
    let mut scan = MachineListScan::new(0);
    assert_eq!(scan.begin_page(0), Some(String::new()));
    assert_eq!(scan.begin_page(0), None, "one at a time");
    assert!(scan.take_page(0, page(&["a", "b"], true), &set, &owned).is_none());
    assert_eq!(scan.begin_page(0), Some("b".into()));
    scan.page_failed(0, &set);
    assert_eq!(scan.begin_page(1_499), None);
    assert_eq!(scan.begin_page(1_500), Some("b".into()), "asked for again");
    let list = scan.take_page(2_000, page(&["c"], false), &set, &owned).expect("the whole list");
    assert_eq!(list.iter().map(|machine| machine.id.as_str()).collect::<Vec<_>>(), ["a", "b", "c"]);
    assert_eq!(scan.begin_page(11_999), None);
    assert_eq!(scan.begin_page(12_000), Some(String::new()), "anew after twice the lag");
}

#[test]
fn a_long_list_leaves_requests_for_others_once_it_is_known_what_is_owned() {
    let set = Fixture::new().settings;
    let pauses = |owned: &OwnedMachines| {
        let mut scan = MachineListScan::new(0);
        let mut pauses = Vec::new();
        for _ in 0..6 {
            scan.take_page(0, page(&["a"], true), &set, owned);
            pauses.push(scan.next_page_at);
        }
        pauses
    };
    assert_eq!(pauses(&OwnedMachines::default()), [0; 6]);
    let mut owned = OwnedMachines::default();
    owned.finish_loading();
    // Five pages are half of a second's requests; then a quarter of the rate is used.
    assert_eq!(pauses(&owned), [0, 0, 0, 0, 400, 400]);
}
