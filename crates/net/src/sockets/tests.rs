use super::*;

/// At one and a half times the fleet, connections from all machines and kept ones to all machines
/// came to more than the limit; hundreds of machines then seemed not to answer.
#[test]
fn shares_leave_room_for_each_other() {
    for limit in [256, 1024, 2000, 3050, 3353, 65_536] {
        let s = Sockets::new(limit);
        let all = s.incoming() + s.reserved() + s.calls() + s.state() + s.cloud() + s.peers();
        assert!(all + 8 <= limit, "{all} of {limit}");
    }
}

#[test]
fn what_is_closed_counts_no_more() {
    let s = Sockets::new(64);
    let held: Vec<Open> = (0..48).map(|_| s.open()).collect();
    assert!(!s.roomy());
    drop(held);
    assert!(s.roomy());
}
