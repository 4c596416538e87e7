use super::*;

/// Adds a request for `count` machines, as the autoscaler does.
fn add(requests: &mut ScaleOutRequests, node_name: &str, epoch: Epoch, count: u32) {
    let request = requests.next_name(node_name, epoch);
    requests.add(ScaleOutRequest { request, machine_type: "std".into(), zone: "a".into(), spot: true, count });
}

#[test]
fn a_request_is_recorded_then_sent_until_answered_then_removed() {
    let mut requests = ScaleOutRequests::default();
    add(&mut requests, "node", Epoch(7), 3);
    let name = "node-7-1";
    assert!(requests.take_due(0).is_empty(), "not sent before it is recorded");
    let not_settled = |_: &Id| false;
    let settled = |_: &Id| true;
    for (_, scale_out) in requests.iter_mut() {
        let change = scale_out.needed_record_change(not_settled);
        assert!(matches!(change, Some(ScaleOutRecordChange::Write(request)) if request.request == name));
        scale_out.mark_record_change_sent();
        assert_eq!(scale_out.needed_record_change(not_settled), None, "a write is in flight");
    }
    requests.record_change_failed(name);
    assert!(requests.by_name[name].needed_record_change(not_settled).is_some(), "a failed write is retried");
    requests.mark_recorded(name, Revision(5));
    assert_eq!(requests.by_name[name].needed_record_change(settled), None, "not removed before it is answered");
    assert_eq!(requests.take_due(0).len(), 1);
    assert!(requests.take_due(0).is_empty(), "sent only once at a time");
    assert_eq!(requests.unanswered().count(), 1);
    // A request without an answer is sent again, but not before its retry time.
    assert!(requests.request_finished(name).is_some());
    requests.delay_retry(name, 100);
    assert!(requests.take_due(99).is_empty());
    assert_eq!(requests.take_due(100)[0].request, name);
    requests.request_finished(name);
    requests.mark_answered(name, vec!["machine".into()]);
    assert!(requests.take_due(200).is_empty() && requests.unanswered().count() == 0);
    assert_eq!(
        requests.by_name[name].needed_record_change(not_settled),
        None,
        "not removed before its machine is recorded"
    );
    let removal = requests.by_name[name].needed_record_change(settled);
    assert_eq!(removal, Some(ScaleOutRecordChange::Remove(Revision(5))));
    requests.remove(name);
    assert_eq!(requests.request_finished(name), None);
}

#[test]
fn a_restored_request_of_another_leader_is_sent_under_its_name() {
    let mut requests = ScaleOutRequests::default();
    let request = ScaleOutRequest {
        request: "other-6-9".into(),
        machine_type: "std".into(),
        zone: "a".into(),
        spot: true,
        count: 2,
    };
    requests.restore(request.clone(), Revision(4));
    add(&mut requests, "node", Epoch(7), 1);
    assert_eq!(requests.take_due(0), [request]);
}
