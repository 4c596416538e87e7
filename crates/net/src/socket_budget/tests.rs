use super::*;

/// At one and a half times the fleet, connections from all machines and kept ones to all machines
/// came to more than the limit; hundreds of machines then seemed not to answer.
#[test]
fn shares_leave_room_for_each_other() {
    for limit in [256, 1024, 2000, 3050, 3353, 65_536] {
        let budget = SocketBudget::new(limit);
        let all = budget.client_connections()
            + budget.reserved_connections()
            + budget.agent_calls()
            + budget.kv_requests()
            + budget.cloud_requests()
            + budget.peer_connections();
        assert!(all + 8 <= limit, "{all} of {limit}");
    }
}

#[test]
fn what_is_closed_counts_no_more() {
    let budget = SocketBudget::new(64);
    let held: Vec<OpenSocket> = (0..48).map(|_| budget.open()).collect();
    assert!(!budget.has_room());
    drop(held);
    assert!(budget.has_room());
}
