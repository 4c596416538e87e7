use super::*;
use crate::leader::autoscaler::arrivals::Arrivals;
use crate::leader::autoscaler::offers::UnavailableOffers;
use crate::leader::fleet::reachability::Reachability;
use crate::leader::scale_out_requests::ScaleOutRequests;
use crate::leader::scheduler::fixture::{ChangeJob, Fixture, job, names, place_in_zone};
use crate::settings::{ComputeAmount, TeamQuota};
use shaleshunt_wire::Revision;
use shaleshunt_wire::cloud::ScaleOutRequest;
use shaleshunt_wire::user::JobKind;

/// Input of a plan besides jobs and machines.
struct PlanInput {
    scale_outs: ScaleOutRequests,
    unavailable: UnavailableOffers,
    arrivals: Arrivals,
    reachability: Reachability,
}

impl Default for PlanInput {
    fn default() -> PlanInput {
        PlanInput {
            scale_outs: ScaleOutRequests::default(),
            unavailable: UnavailableOffers::default(),
            arrivals: Arrivals::default(),
            reachability: Reachability::new(0),
        }
    }
}

fn plan(fixture: &Fixture, input: &PlanInput) -> ScaleOutPlan {
    plan_scale_out(&ScaleOutView {
        scheduling: fixture.view(),
        catalog: &fixture.catalog,
        scale_outs: &input.scale_outs,
        unavailable: &input.unavailable,
        arrivals: &input.arrivals,
        reachability: &input.reachability,
    })
}

/// Requests as text: machine type, zone, market and count.
fn requests(plan: &ScaleOutPlan) -> Vec<String> {
    let market = |spot: bool| if spot { "spot" } else { "on-demand" };
    let text = |planned: &PlannedRequest| {
        let PlannedRequest { offer, count } = planned;
        format!("{} {} {} {count}", offer.machine_type, offer.zone, market(offer.spot))
    };
    plan.requests.iter().map(text).collect()
}

/// Machine types of 16 cores: one in zones a and b, a more expensive one in c.
fn fixture() -> Fixture {
    let mut fixture = Fixture::new();
    fixture.add_machine_type("std", 1.0, 0.4, &["a", "b"]);
    fixture.add_machine_type("dear", 2.0, 0.0, &["c"]);
    fixture
}

#[test]
fn waiting_tasks_rent_the_cheapest_machines_that_they_may_use() {
    let cases: [(&str, ChangeJob, &[&str]); 8] = [
        (
            "four tasks per machine, alternating zones",
            |j| j.spec.tasks = 9,
            &["std a on-demand 2", "std b on-demand 1"],
        ),
        ("spot is cheaper", |j| j.spec.spot = true, &["std a spot 1"]),
        ("one zone", |j| (j.spec.tasks, j.spec.zone) = (9, Some("b".into())), &["std b on-demand 3"]),
        ("one type", |j| j.spec.machine_types = Some(vec!["dear".into()]), &["dear c on-demand 1"]),
        ("no type large enough", |j| j.need = Resources::new(17.0, 0.0, 1.0), &[]),
        ("unknown team", |j| j.spec.team = "nobody".into(), &[]),
        ("team's quota", |j| (j.spec.tasks, j.spec.team) = (9, "limited".into()), &["std a on-demand 1"]),
        ("no waiting tasks", |j| place_in_zone(j, "a"), &[]),
    ];
    for (name, change, expected) in cases {
        let mut fixture = fixture();
        let quota = TeamQuota { limit: ComputeAmount { cores: 16_000, accelerators: 0 }, ..TeamQuota::default() };
        fixture.settings.teams.insert("limited".into(), quota);
        fixture.add_job("job", change);
        assert_eq!(requests(&plan(&fixture, &PlanInput::default())), expected, "{name}");
    }
}

#[test]
fn spare_capacity_is_used_before_machines_are_rented() {
    let mut fixture = fixture();
    fixture.add_machine("booting", |m| m.agent.last_heartbeat_ms = None);
    fixture.add_machine("unneeded", |m| (m.agent.last_heartbeat_ms, m.zone) = (None, "b".into()));
    fixture.add_machine("nearly-full", |m| m.capacity.used = Resources::new(12.0, 0.0, 1.0));
    // Arrivals count as demand regardless of the fleet's capacity.
    let mut input = PlanInput::default();
    let id = fixture.add_job("job", |j| j.spec.tasks = 5);
    input.arrivals.record_for_test(0, &fixture.jobs[&id]);
    fixture.jobs.clear();
    let planned = plan(&fixture, &input);
    assert_eq!(requests(&planned), [""; 0]);
    assert_eq!(names(&planned.needed_machines), ["nearly-full", "booting"]);
    // A machine that boots in a partitioned zone is unusable, and nothing is rented there.
    input.reachability.set_partitioned_zones(["a".to_string(), "c".to_string()].into());
    let planned = plan(&fixture, &input);
    assert_eq!(names(&planned.needed_machines), ["nearly-full", "unneeded"]);
}

#[test]
fn requested_machines_count_as_capacity_until_the_request_is_answered() {
    let mut fixture = fixture();
    fixture.add_job("job", |j| j.spec.tasks = 9);
    let request = ScaleOutRequest {
        request: "n-1-1".into(),
        machine_type: "std".into(),
        zone: "b".into(),
        spot: false,
        count: 2,
    };
    let mut input = PlanInput::default();
    input.scale_outs.restore(request, Revision(1));
    assert_eq!(requests(&plan(&fixture, &input)), ["std a on-demand 1"]);
}

#[test]
fn recently_refused_offers_are_avoided() {
    let mut fixture = fixture();
    fixture.add_job("job", |_| {});
    let mut input = PlanInput::default();
    let offer = |zone: &str| Offer { machine_type: "std".into(), zone: zone.into(), spot: false };
    let now = fixture.view().now.monotonic_ms;
    input.unavailable.record_refused(offer("a"), now, &fixture.settings);
    assert_eq!(requests(&plan(&fixture, &input)), ["std b on-demand 1"]);
    input.unavailable.record_refused(offer("b"), now, &fixture.settings);
    assert_eq!(requests(&plan(&fixture, &input)), ["dear c on-demand 1"]);
}

#[test]
fn a_plan_follows_the_zone_rules_of_a_job() {
    let mut fixture = fixture();
    fixture.add_machine("a-booting", |m| (m.agent.last_heartbeat_ms, m.zone) = (None, "a".into()));
    fixture.add_machine("b-booting", |m| (m.agent.last_heartbeat_ms, m.zone) = (None, "b".into()));
    let mut input = PlanInput::default();
    input.arrivals.record_for_test(0, &job("spread", |j| (j.spec.tasks, j.spec.spread_zones) = (4, true)));
    assert_eq!(names(&plan(&fixture, &input).needed_machines), ["a-booting", "b-booting"]);
    let mut input = PlanInput::default();
    input.arrivals.record_for_test(0, &job("together", |j| (j.spec.tasks, j.spec.single_zone) = (4, true)));
    assert_eq!(names(&plan(&fixture, &input).needed_machines), ["a-booting"]);
}

#[test]
fn a_round_requests_no_more_machines_than_its_requests_can_hold() {
    let mut fixture = fixture();
    fixture.settings.cloud_rps = 1.0;
    fixture.add_job("job", |j| j.spec.tasks = 100_000);
    let planned = plan(&fixture, &PlanInput::default());
    let machines: u32 = planned.requests.iter().map(|planned| planned.count).sum();
    assert_eq!(machines, MAX_MACHINES_PER_SCALE_OUT);
    assert!(planned.requests.iter().all(|planned| planned.count <= MAX_MACHINES_PER_SCALE_OUT));
    fixture.settings.cloud_rps = 100.0;
    let planned = plan(&fixture, &PlanInput::default());
    assert!(planned.requests.iter().all(|planned| planned.count <= MAX_MACHINES_PER_SCALE_OUT));
    assert!(planned.requests.len() <= 40);
}

#[test]
fn gangs_larger_than_the_fleet_rent_machines_at_once() {
    let mut fixture = fixture();
    fixture.add_machine("machine", |_| {});
    fixture.add_job("fits", |j| (j.spec.kind, j.spec.tasks) = (JobKind::Gang, 4));
    assert_eq!(requests(&plan(&fixture, &PlanInput::default())), [""; 0]);
    fixture.add_job("larger", |j| (j.spec.kind, j.spec.tasks) = (JobKind::Gang, 5));
    assert_eq!(requests(&plan(&fixture, &PlanInput::default())), ["std b on-demand 1"]);
}
