use super::{Claim, Election, ElectionRequest, ElectionTransition, Reachability};
use crate::controller::{Context, PendingRequest};
use crate::io::{Effect, KvReply, KvRequest, RequestError, Timestamp};
use crate::model::keys;
use crate::settings::{Settings, Tuning};
use serde_json::{Value, json};
use shaleshunt_wire::kv::{Change, KeyValue, Page, WatchReply, Write};
use shaleshunt_wire::{Epoch, Revision};
use std::collections::BTreeSet;

const NOW_MS: u64 = 50_000;
const SENT_AT_MS: u64 = 49_900;
const LEASE: u64 = 42;

fn context() -> Context {
    let settings = Settings { node_name: "a".into(), heartbeat_interval_s: 10.0, ..Settings::default() };
    Context::new(settings, Tuning::default(), Timestamp { monotonic_ms: NOW_MS, wall_ms: 0 }, 1)
}

/// Takes the requests sent, each with the election step that waits for its reply, if any.
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

fn pair(key: &str, value: Value, version: u64) -> KeyValue {
    KeyValue { key: key.into(), value, version: Revision(version), lease: None }
}

fn page(pairs: Vec<KeyValue>) -> KvReply {
    KvReply::Page(Page { pairs, truncated: false, revision: Revision(90) })
}

/// Passes a reply to the election; returns the transition and the requests sent.
fn reply(
    election: &mut Election,
    step: ElectionRequest,
    reply: KvReply,
) -> (ElectionTransition, Vec<(KvRequest, Option<ElectionRequest>)>) {
    let mut ctx = context();
    let transition = election.handle_reply(&mut ctx, step, SENT_AT_MS, Ok(reply));
    (transition, sent(&mut ctx))
}

#[test]
fn first_run_reads_leadership_once() {
    let mut ctx = context();
    let mut election = Election::new(NOW_MS);
    election.run_due(&mut ctx);
    let scan = KvRequest::Scan { prefix: "l/".into(), after: String::new() };
    assert!(matches!(&sent(&mut ctx)[..], [(request, Some(ElectionRequest::ReadLeadership))] if *request == scan));
    election.run_due(&mut ctx);
    assert!(sent(&mut ctx).is_empty());
}

#[test]
fn leadership_of_another_node_is_watched() {
    let mut election = Election::new(NOW_MS);
    let pairs = vec![
        pair(keys::EPOCH, json!({"epoch": 7, "node": "b"}), 80),
        pair(keys::LEADER, json!({"node": "b", "pass": LEASE}), 80),
        pair("l/x/job-1", json!({}), 85),
    ];
    let (transition, requests) = reply(&mut election, ElectionRequest::ReadLeadership, page(pairs));
    let cancelled = BTreeSet::from(["job-1".to_string()]);
    assert_eq!(transition, ElectionTransition::CancellationsRead { sent_at_ms: SENT_AT_MS, cancelled });
    assert_eq!((election.epoch(), election.known_leader()), (Epoch(7), Some("b")));
    let watch = KvRequest::Watch { prefix: "l/".into(), after: Revision(90), max_wait_ms: 1250 };
    assert!(matches!(&requests[..], [(request, Some(ElectionRequest::WatchLeadership { .. }))] if *request == watch));
}

/// A page with the leader key of another node and the cancellations of these jobs.
fn cancellations_page(jobs: &[&str], truncated: bool, revision: u64) -> KvReply {
    let mut pairs = vec![pair(keys::LEADER, json!({"node": "b", "pass": LEASE}), 80)];
    pairs.extend(jobs.iter().map(|job| pair(&format!("l/x/{job}"), json!(true), 85)));
    KvReply::Page(Page { pairs, truncated, revision: Revision(revision) })
}

fn unchanged(revision: u64) -> KvReply {
    KvReply::Changes(WatchReply { revision: Revision(revision), changes: Vec::new() })
}

/// Guards against lease renewals for a job whose cancellation is on a page that was not read.
#[test]
fn all_pages_of_the_cancellations_are_read_before_they_are_watched() {
    let mut election = Election::new(NOW_MS);
    let first = cancellations_page(&["job-1"], true, 90);
    let (transition, mut requests) = reply(&mut election, ElectionRequest::ReadLeadership, first);
    assert_eq!(transition, ElectionTransition::None);
    let scan = KvRequest::Scan { prefix: "l/".into(), after: "l/x/job-1".into() };
    let Some((request, Some(step))) = requests.pop() else { panic!("no request") };
    assert!(request == scan && requests.is_empty());
    let second = Page { pairs: vec![pair("l/x/job-2", json!(true), 93)], truncated: false, revision: Revision(95) };
    let (transition, requests) = reply(&mut election, step, KvReply::Page(second));
    let cancelled = BTreeSet::from(["job-1".to_string(), "job-2".to_string()]);
    assert_eq!(transition, ElectionTransition::CancellationsRead { sent_at_ms: SENT_AT_MS, cancelled });
    // Changes since the first page may be missing, so the watch starts there.
    let watch = KvRequest::Watch { prefix: "l/".into(), after: Revision(90), max_wait_ms: 1250 };
    assert!(matches!(&requests[..], [(request, Some(ElectionRequest::WatchLeadership { .. }))] if *request == watch));
}

#[test]
fn truncated_list_of_cancellations_is_neither_reported_nor_confirmed() {
    let mut election = Election::new(NOW_MS);
    let _ = reply(&mut election, ElectionRequest::ReadLeadership, cancellations_page(&["job-1"], false, 90));
    let truncated = cancellations_page(&["job-1", "job-2"], true, 95);
    let (transition, _) = reply(&mut election, ElectionRequest::ReadLeadership, truncated);
    assert_eq!(transition, ElectionTransition::None);
    let watch = ElectionRequest::WatchLeadership { after: Revision(95) };
    assert_eq!(reply(&mut election, watch, unchanged(96)).0, ElectionTransition::None);
}

/// Guards against lease renewals for a job whose cancellation is missing from a list that was read before, and whose
/// reply came after, the list that the watch continues.
#[test]
fn watch_does_not_confirm_a_list_from_before_its_start() {
    let mut election = Election::new(NOW_MS);
    let _ = reply(&mut election, ElectionRequest::ReadLeadership, cancellations_page(&["job-1"], false, 90));
    let delayed = cancellations_page(&[], false, 85);
    let (transition, _) = reply(&mut election, ElectionRequest::ReadLeadership, delayed);
    assert!(matches!(transition, ElectionTransition::CancellationsRead { .. }));
    let from_newer = ElectionRequest::WatchLeadership { after: Revision(90) };
    assert_eq!(reply(&mut election, from_newer, unchanged(91)).0, ElectionTransition::None);
    let from_list = ElectionRequest::WatchLeadership { after: Revision(85) };
    let confirmed = ElectionTransition::CancellationsUnchanged { sent_at_ms: SENT_AT_MS };
    assert_eq!(reply(&mut election, from_list, unchanged(91)).0, confirmed);
}

#[test]
fn watch_is_repeated_without_changes_and_leadership_is_read_after_changes() {
    let mut election = Election::new(NOW_MS);
    let _ = reply(&mut election, ElectionRequest::ReadLeadership, cancellations_page(&[], false, 90));
    let watch = || ElectionRequest::WatchLeadership { after: Revision(90) };
    let changes = |changes: Vec<Change>| KvReply::Changes(WatchReply { revision: Revision(91), changes });
    let (transition, requests) = reply(&mut election, watch(), unchanged(91));
    assert_eq!(transition, ElectionTransition::CancellationsUnchanged { sent_at_ms: SENT_AT_MS });
    assert!(matches!(&requests[..], [(KvRequest::Watch { .. }, Some(ElectionRequest::WatchLeadership { .. }))]));

    let change = Change { set_key: None, deleted_key: Some(keys::LEADER.into()), value: None, version: Revision(91) };
    for watch_reply in [changes(vec![change]), KvReply::Compacted] {
        let (transition, requests) = reply(&mut election, watch(), watch_reply);
        assert_eq!(transition, ElectionTransition::None);
        assert!(matches!(&requests[..], [(KvRequest::Scan { .. }, Some(ElectionRequest::ReadLeadership))]));
    }
}

#[test]
fn without_a_leader_lease_grant_epoch_read_and_claim_follow_in_order() {
    let mut election = Election::new(NOW_MS);
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
    let preconditions: Vec<(&str, Revision)> = transaction
        .preconditions
        .iter()
        .map(|precondition| (precondition.key.as_str(), precondition.version))
        .collect();
    assert_eq!(preconditions, [(keys::LEADER, Revision::ABSENT), (keys::EPOCH, Revision(80))]);
    let leader =
        Write::Set { key: keys::LEADER.into(), value: json!({"node": "a", "pass": LEASE}), lease: Some(LEASE) };
    assert_eq!(transaction.writes, [leader, Write::set(keys::EPOCH, json!({"epoch": 8, "node": "a"}))]);

    let claim = ElectionRequest::ClaimEpoch { epoch: Epoch(8), lease: LEASE };
    let (transition, requests) = reply(&mut election, claim, KvReply::Committed(Revision(95)));
    let claim = Claim { epoch: Epoch(8), epoch_version: Revision(95), lease: LEASE };
    assert_eq!(transition, ElectionTransition::BecomeLeader(claim));
    assert!(requests.is_empty());
    assert_eq!((election.epoch(), election.known_leader()), (Epoch(8), Some("a")));
}

#[test]
fn first_epoch_is_claimed_if_none_is_stored() {
    let mut election = Election::new(NOW_MS);
    let (_, requests) = reply(&mut election, ElectionRequest::ReadEpoch { lease: LEASE }, KvReply::Missing);
    let [(KvRequest::Transaction(transaction), Some(ElectionRequest::ClaimEpoch { epoch, .. }))] = &requests[..] else {
        panic!("{requests:?}")
    };
    assert_eq!(*epoch, Epoch(1));
    assert!(transaction.preconditions.iter().all(|precondition| precondition.version == Revision::ABSENT));
}

#[test]
fn conflicting_claim_revokes_its_lease_and_reads_leadership_again() {
    let steps =
        [ElectionRequest::ReadEpoch { lease: LEASE }, ElectionRequest::ClaimEpoch { epoch: Epoch(8), lease: LEASE }];
    for step in steps {
        let mut election = Election::new(NOW_MS);
        let (transition, requests) = reply(&mut election, step, KvReply::Conflict(vec![keys::EPOCH.into()]));
        assert_eq!(transition, ElectionTransition::None);
        assert_eq!(election.epoch(), Epoch::NONE);
        let [(KvRequest::RevokeLease { lease: LEASE }, None), (KvRequest::Scan { .. }, Some(_))] = &requests[..] else {
            panic!("{requests:?}")
        };
    }
}

#[test]
fn lease_left_by_an_earlier_claim_of_this_node_is_revoked() {
    let mut election = Election::new(NOW_MS);
    let own = pair(keys::LEADER, json!({"node": "a", "pass": LEASE}), 80);
    let (_, requests) = reply(&mut election, ElectionRequest::ReadLeadership, page(vec![own]));
    assert!(matches!(&requests[..], [(KvRequest::RevokeLease { lease: LEASE }, None)]));
    assert_eq!(election.known_leader(), None);
    assert_eq!(election.read_due_at_ms, Some(NOW_MS + 200));
}

#[test]
fn failed_step_delays_the_next_leadership_read() {
    let mut ctx = context();
    let mut election = Election::new(NOW_MS);
    election.read_leadership(&mut ctx);
    let step = ElectionRequest::ClaimEpoch { epoch: Epoch(8), lease: LEASE };
    let transition = election.handle_reply(&mut ctx, step, SENT_AT_MS, Err(RequestError::OutcomeUnknown));
    assert_eq!(transition, ElectionTransition::None);
    assert_eq!(election.read_due_at_ms, Some(NOW_MS + 700));
}

#[test]
fn leader_without_heartbeats_waits_longer_after_stepping_down() {
    for (reachability, delay_ms) in [(Reachability::Reachable, 100), (Reachability::Unreachable, 30_000)] {
        let mut ctx = context();
        let mut election = Election::new(NOW_MS);
        election.follow(Epoch(8), "a".into());
        election.step_down(&mut ctx, LEASE, reachability);
        assert!(matches!(&sent(&mut ctx)[..], [(KvRequest::RevokeLease { lease: LEASE }, None)]));
        assert_eq!((election.known_leader(), election.read_due_at_ms), (None, Some(NOW_MS + delay_ms)));
    }
}

#[test]
fn lease_of_a_disconnected_leader_is_revoked_once() {
    let mut election = Election::new(NOW_MS);
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
fn claim_committed_after_a_newer_epoch_became_known_sets_the_claimed_epoch() {
    let mut election = Election::new(NOW_MS);
    election.follow(Epoch(9), "b".into());
    let claim = ElectionRequest::ClaimEpoch { epoch: Epoch(8), lease: LEASE };
    let _ = reply(&mut election, claim, KvReply::Committed(Revision(95)));
    // The next heartbeat of epoch 9's leader is then newer than the known epoch and makes this node step down.
    assert_eq!(election.epoch(), Epoch(8));
}
