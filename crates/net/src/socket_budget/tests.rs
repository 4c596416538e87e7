use super::*;

/// Guards against shares that add up to more than the limit. At one and a half times the fleet size, connections from
/// all machines and pooled connections to them once exceeded it, and hundreds of machines seemed unreachable.
#[test]
fn shares_of_all_purposes_fit_into_the_limit() {
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
fn closed_sockets_no_longer_count() {
    let budget = SocketBudget::new(64);
    let held: Vec<OpenSocket> = (0..48).map(|_| budget.open()).collect();
    assert!(!budget.has_room());
    drop(held);
    assert!(budget.has_room());
}
