use super::*;
use crate::leader::autoscaler::arrivals::Arrivals;
use crate::leader::autoscaler::offers::UnavailableOffers;
use crate::leader::fleet::reachability::Reachability;
use crate::leader::scale_out_requests::ScaleOutRequests;
use crate::leader::scheduler::fixture::{ChangeJob, Fixture, NOW};
use crate::settings::ServiceObjective;

/// Whether the fixture's job wants rented machines, although owned machines could run it.
fn wants_rented_machines_now(fixture: &Fixture) -> bool {
    let view = ScaleOutView {
        scheduling: fixture.view(),
        catalog: &fixture.catalog,
        scale_outs: &ScaleOutRequests::default(),
        unavailable: &UnavailableOffers::default(),
        arrivals: &Arrivals::default(),
        reachability: &Reachability::new(0),
    };
    !demand(&view).is_empty()
}

struct Case {
    name: &'static str,
    start_s: Option<f64>,
    finish_s: Option<f64>,
    waited_s: u64,
    change: ChangeJob,
    wants: bool,
}

#[test]
fn jobs_wait_for_owned_machines_as_long_as_their_objective_allows() {
    let unchanged: ChangeJob = |_| {};
    let case = |name, waited_s, wants| Case { name, start_s: None, finish_s: None, waited_s, change: unchanged, wants };
    let cases = [
        case("no objective, not long enough", 59, false),
        case("no objective, long enough", 60, true),
        // A quarter of the objective, minus a boot time of 60 s.
        Case { start_s: Some(400.0), ..case("objective for the start, not long enough", 39, false) },
        Case { start_s: Some(400.0), ..case("objective for the start, long enough", 40, true) },
        Case { start_s: Some(100.0), ..case("objective shorter than a boot", 0, true) },
        // The estimated run time of 60 s is subtracted first.
        Case { finish_s: Some(400.0), ..case("objective for the end, not long enough", 24, false) },
        Case { finish_s: Some(400.0), ..case("objective for the end, long enough", 25, true) },
        Case { change: |j| j.spec.deadline_s = Some(900.0), ..case("deadline with slack", 9_999, false) },
        Case {
            change: |j| (j.spec.deadline_s, j.scheduling.offloaded) = (Some(900.0), true),
            ..case("deadline, offloaded", 0, true)
        },
        Case { change: |j| j.spec.zone = Some("b".into()), ..case("no machine that it may use", 0, true) },
        Case { change: |j| j.need = Resources::new(17.0, 0.0, 1.0), ..case("no machine large enough", 0, true) },
        Case { change: |j| j.cancelled = true, ..case("cancelled", 9_999, false) },
        Case { change: |j| j.scheduling.not_before_ms = NOW.monotonic_ms + 1, ..case("held back", 9_999, false) },
    ];
    for case in cases {
        let mut fixture = Fixture::new();
        fixture.add_machine_type("std", 1.0, 0.4, &["a"]);
        fixture.add_machine("owned", |_| {});
        let objective = ServiceObjective {
            start_s: case.start_s.into_iter().collect(),
            finish_s: case.finish_s.into_iter().collect(),
            ..ServiceObjective::default()
        };
        fixture.settings.objectives.insert("class".into(), objective);
        fixture.add_job("job", |j| {
            j.scheduling.ready_at_ms = NOW.wall_ms - case.waited_s * 1000;
            (case.change)(j);
        });
        assert_eq!(wants_rented_machines_now(&fixture), case.wants, "{}", case.name);
    }
}
