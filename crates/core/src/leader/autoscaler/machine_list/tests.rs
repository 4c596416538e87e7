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
fn pages_are_requested_one_at_a_time_until_the_list_is_complete() {
    let settings = Fixture::new().settings;
    let owned = OwnedMachines::default();
    let mut scan = MachineListScan::new(0);
    assert_eq!(scan.begin_page(0), Some(String::new()));
    assert_eq!(scan.begin_page(0), None, "one at a time");
    assert!(scan.take_page(0, page(&["a", "b"], true), &settings, &owned).is_none());
    assert_eq!(scan.begin_page(0), Some("b".into()));
    scan.page_failed(0, &settings);
    assert_eq!(scan.begin_page(1_499), None);
    assert_eq!(scan.begin_page(1_500), Some("b".into()), "requested again");
    let list = scan.take_page(2_000, page(&["c"], false), &settings, &owned).expect("the complete list");
    assert_eq!(list.iter().map(|machine| machine.id.as_str()).collect::<Vec<_>>(), ["a", "b", "c"]);
    assert_eq!(scan.begin_page(11_999), None);
    assert_eq!(scan.begin_page(12_000), Some(String::new()), "a new list after twice the lag");
}

#[test]
fn a_long_list_leaves_request_rate_for_others_once_the_owned_machines_are_known() {
    let settings = Fixture::new().settings;
    let pauses = |owned: &OwnedMachines| {
        let mut scan = MachineListScan::new(0);
        let mut pauses = Vec::new();
        for _ in 0..6 {
            scan.take_page(0, page(&["a"], true), &settings, owned);
            pauses.push(scan.next_page_at_ms);
        }
        pauses
    };
    assert_eq!(pauses(&OwnedMachines::default()), [0; 6]);
    let mut owned = OwnedMachines::default();
    owned.finish_loading();
    // Five pages are half of a second's requests; after that a quarter of the rate is used.
    assert_eq!(pauses(&owned), [0, 0, 0, 0, 400, 400]);
}
