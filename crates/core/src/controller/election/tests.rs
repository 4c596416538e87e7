use super::{Claim, Election, ElectionRequest, ElectionTransition, Reachability};
use crate::controller::{Context, PendingRequest};
use crate::io::{Effect, KvReply, KvRequest, RequestError, Timestamp};
use crate::model::keys;
use crate::settings::{Settings, Tuning};
use serde_json::{Value, json};
use shaleshunt_wire::kv::{Change, KeyValue, Page, WatchReply, Write};
use shaleshunt_wire::{Epoch, Revision};
use std::collections::BTreeSet;

const NOW: u64 = 50_000;
const SENT_AT: u64 = 49_900;
const LEASE: u64 = 42;

fn context() -> Context {
    let settings = Settings { node_name: "a".into(), heartbeat_interval_s: 10.0, ..Settings::default() };
    Context::new(settings, Tuning::default(), Timestamp { monotonic_ms: NOW, wall_ms: 0 }, 1)
}

/// The requests sent, each with the step that waits for it; `None` if nobody does.
fn sent(ctx: &mut Context) -> Vec<(KvRequest, Option<ElectionRequest>)> {
    let effects = ctx.take_effects();
    let request = |effect: Effect| match effect {
        Effect::Kv(id, request, None) => {
            let step = match ctx.complete(id).expect("pending").request {
                PendingRequest::Election(step) => Some(step),
                PendingRequest::Ignored => None,
                other => panic!("{other:?}"),
            };
            (request, step)
        }
        other => panic!("{other:?}"),
    };
    effects.into_iter().map(request).collect()
}

fn pair(path: &str, v: Value, version: u64) -> KeyValue {
    KeyValue { key: path.into(), value: v, version: Revision(version), lease: None }
}

fn page(pairs: Vec<KeyValue>) -> KvReply {
    KvReply::Page(Page { pairs, truncated: false, revision: Revision(90) })
}

/// Hands over a reply; returns the transition and what was sent.
fn reply(
    election: &mut Election,
    step: ElectionRequest,
    reply: KvReply,
) -> (ElectionTransition, Vec<(KvRequest, Option<ElectionRequest>)>) {
    let mut ctx = context();
    let transition = election.handle_reply(&mut ctx, step, SENT_AT, Ok(reply));
    (transition, sent(&mut ctx))
}

#[test]
fn leadership_is_read_at_the_start_and_once() {
    let mut ctx = context();
    let mut election = Election::new(NOW);
    election.run_due(&mut ctx);
    let scan = KvRequest::Scan { prefix: "l/".into(), after: String::new() };
    assert!(matches!(&sent(&mut ctx)[..], [(request, Some(ElectionRequest::ReadLeadership))] if *request == scan));
    election.run_due(&mut ctx);
    assert!(sent(&mut ctx).is_empty());
}

#[test]
fn another_nodes_leadership_is_watched() {
    let mut election = Election::new(NOW);
    let pairs = vec![
        pair(keys::EPOCH, json!({"epoch": 7, "node": "b"}), 80),
        pair(keys::LEADER, json!({"node": "b", "pass": LEASE}), 80),
        pair("l/x/job-1", json!({}), 85),
    ];
    let (transition, requests) = reply(&mut election, ElectionRequest::ReadLeadership, page(pairs));
    let cancelled = BTreeSet::from(["job-1".to_string()]);
    assert_eq!(transition, ElectionTransition::CancellationsRead { sent_at: SENT_AT, cancelled });
    assert_eq!((election.epoch(), election.known_leader()), (Epoch(7), Some("b")));
    let watch = KvRequest::Watch { prefix: "l/".into(), after: Revision(90), max_wait_ms: 1250 };
    assert!(matches!(&requests[..], [(request, Some(ElectionRequest::WatchLeadership))] if *request == watch));
}

#[test]
fn a_truncated_read_tells_nothing_about_cancellations() {
    let mut election = Election::new(NOW);
    let page = KvReply::Page(Page { pairs: Vec::new(), truncated: true, revision: Revision(90) });
    let (transition, _) = reply(&mut election, ElectionRequest::ReadLeadership, page);
    assert_eq!(transition, ElectionTransition::None);
}

#[test]
fn without_changes_the_watch_goes_on_and_with_changes_leadership_is_read() {
    let mut election = Election::new(NOW);
    let changes = |changes: Vec<Change>| KvReply::Changes(WatchReply { revision: Revision(91), changes });
    let (transition, requests) = reply(&mut election, ElectionRequest::WatchLeadership, changes(Vec::new()));
    assert_eq!(transition, ElectionTransition::CancellationsUnchanged { sent_at: SENT_AT });
    assert!(matches!(&requests[..], [(KvRequest::Watch { .. }, Some(ElectionRequest::WatchLeadership))]));

    let change = Change { set_key: None, deleted_key: Some(keys::LEADER.into()), value: None, version: Revision(91) };
    for news in [changes(vec![change]), KvReply::Compacted] {
        let (transition, requests) = reply(&mut election, ElectionRequest::WatchLeadership, news);
        assert_eq!(transition, ElectionTransition::None);
        assert!(matches!(&requests[..], [(KvRequest::Scan { .. }, Some(ElectionRequest::ReadLeadership))]));
    }
}

#[test]
fn without_a_leader_the_next_epoch_is_claimed_step_by_step() {
    let mut election = Election::new(NOW);
    let stored_epoch = pair(keys::EPOCH, json!({"epoch": 7, "node": "b"}), 80);
    let (_, requests) = reply(&mut election, ElectionRequest::ReadLeadership, page(vec![stored_epoch.clone()]));
    let grant = KvRequest::GrantLease { ttl_ms: 7000 };
    assert!(matches!(&requests[..], [(request, Some(ElectionRequest::GrantLease))] if *request == grant));

    let (_, requests) = reply(&mut election, ElectionRequest::GrantLease, KvReply::LeaseGranted(LEASE));
    let get = KvRequest::Get { key: keys::EPOCH.into() };
    let step = Some(ElectionRequest::ReadEpoch { lease: LEASE });
    assert_eq!(format!("{requests:?}"), format!("{:?}", [(get, step)]));

    let read = ElectionRequest::ReadEpoch { lease: LEASE };
    let (_, requests) = reply(&mut election, read, KvReply::Found(stored_epoch));
    let [(KvRequest::Transaction(transaction), Some(ElectionRequest::ClaimEpoch { epoch, lease }))] = &requests[..]
    else {
        panic!("{requests:?}")
    };
    assert_eq!((*epoch, *lease), (Epoch(8), LEASE));
    let conditions: Vec<(&str, Revision)> =
        transaction.preconditions.iter().map(|condition| (condition.key.as_str(), condition.version)).collect();
    assert_eq!(conditions, [(keys::LEADER, Revision::ABSENT), (keys::EPOCH, Revision(80))]);
    let leader =
        Write::Set { key: keys::LEADER.into(), value: json!({"node": "a", "pass": LEASE}), lease: Some(LEASE) };
    assert_eq!(transaction.writes, [leader, Write::set(keys::EPOCH, json!({"epoch": 8, "node": "a"}))]);

    let claim = ElectionRequest::ClaimEpoch { epoch: Epoch(8), lease: LEASE };
    let (transition, requests) = reply(&mut election, claim, KvReply::Committed(Revision(95)));
    let claim = Claim { epoch: Epoch(8), revision: Revision(95), lease: LEASE };
    assert_eq!(transition, ElectionTransition::BecomeLeader(claim));
    assert!(requests.is_empty());
    assert_eq!((election.epoch(), election.known_leader()), (Epoch(8), Some("a")));
}

#[test]
fn the_first_epoch_is_claimed_where_none_is_stored() {
    let mut election = Election::new(NOW);
    let (_, requests) = reply(&mut election, ElectionRequest::ReadEpoch { lease: LEASE }, KvReply::Missing);
    let [(KvRequest::Transaction(transaction), Some(ElectionRequest::ClaimEpoch { epoch, .. }))] = &requests[..] else {
        panic!("{requests:?}")
    };
    assert_eq!(*epoch, Epoch(1));
    assert!(transaction.preconditions.iter().all(|condition| condition.version == Revision::ABSENT));
}

#[test]
fn a_claim_that_lost_gives_its_lease_back_and_reads_again() {
    let steps =
        [ElectionRequest::ReadEpoch { lease: LEASE }, ElectionRequest::ClaimEpoch { epoch: Epoch(8), lease: LEASE }];
    for step in steps {
        let mut election = Election::new(NOW);
        let (transition, requests) = reply(&mut election, step, KvReply::Conflict(vec![keys::EPOCH.into()]));
        assert_eq!(transition, ElectionTransition::None);
        assert_eq!(election.epoch(), Epoch::NONE);
        let [(KvRequest::RevokeLease { lease: LEASE }, None), (KvRequest::Scan { .. }, Some(_))] = &requests[..] else {
            panic!("{requests:?}")
        };
    }
}

#[test]
fn a_lease_of_this_node_from_before_is_revoked() {
    let mut election = Election::new(NOW);
    let own = pair(keys::LEADER, json!({"node": "a", "pass": LEASE}), 80);
    let (_, requests) = reply(&mut election, ElectionRequest::ReadLeadership, page(vec![own]));
    assert!(matches!(&requests[..], [(KvRequest::RevokeLease { lease: LEASE }, None)]));
    assert_eq!(election.known_leader(), None);
    assert_eq!(election.read_due_at, Some(NOW + 200));
}

#[test]
fn after_a_failed_step_leadership_is_read_later() {
    let mut ctx = context();
    let mut election = Election::new(NOW);
    election.read_leadership(&mut ctx);
    let step = ElectionRequest::ClaimEpoch { epoch: Epoch(8), lease: LEASE };
    let transition = election.handle_reply(&mut ctx, step, SENT_AT, Err(RequestError::OutcomeUnknown));
    assert_eq!(transition, ElectionTransition::None);
    assert_eq!(election.read_due_at, Some(NOW + 700));
}

#[test]
fn a_leader_that_no_machine_reaches_leaves_the_next_election_to_others() {
    for (reachability, pause_ms) in [(Reachability::Reachable, 100), (Reachability::Unreachable, 30_000)] {
        let mut ctx = context();
        let mut election = Election::new(NOW);
        election.follow(Epoch(8), "a".into());
        election.resign(&mut ctx, LEASE, reachability);
        assert!(matches!(&sent(&mut ctx)[..], [(KvRequest::RevokeLease { lease: LEASE }, None)]));
        assert_eq!((election.known_leader(), election.read_due_at), (None, Some(NOW + pause_ms)));
    }
}

#[test]
fn the_lease_of_a_leader_whose_connection_broke_is_revoked_once() {
    let mut election = Election::new(NOW);
    let leader = pair(keys::LEADER, json!({"node": "b", "pass": LEASE}), 80);
    let _ = reply(&mut election, ElectionRequest::ReadLeadership, page(vec![leader]));
    let mut ctx = context();
    election.revoke_lease_of(&mut ctx, "c");
    assert!(sent(&mut ctx).is_empty());
    election.revoke_lease_of(&mut ctx, "b");
    election.revoke_lease_of(&mut ctx, "b");
    assert!(matches!(&sent(&mut ctx)[..], [(KvRequest::RevokeLease { lease: LEASE }, None)]));
}

#[test]
fn a_claim_committed_after_a_newer_epoch_was_heard_of_sets_the_claimed_epoch() {
    let mut election = Election::new(NOW);
    election.follow(Epoch(9), "b".into());
    let claim = ElectionRequest::ClaimEpoch { epoch: Epoch(8), lease: LEASE };
    let _ = reply(&mut election, claim, KvReply::Committed(Revision(95)));
    // So the heartbeat of the leader of epoch 9 is newer than what is known, and this node steps down.
    assert_eq!(election.epoch(), Epoch(8));
}
