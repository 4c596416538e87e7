use super::check;
use crate::api::answers::RefusalReason;
use crate::api::tests::{machine_type, submission};
use crate::settings::{ComputeAmount, Settings, TeamQuota};
use shaleshunt_wire::cloud::Catalog;
use shaleshunt_wire::user::{JobKind, Submission};
use std::collections::BTreeMap;

/// Settings with the team `research`, whose limit is 8 cores.
fn settings() -> Settings {
    let quota = TeamQuota { limit: ComputeAmount { cores: 8000, accelerators: 0 }, ..TeamQuota::default() };
    Settings { teams: BTreeMap::from([("research".to_string(), quota)]), ..Settings::default() }
}

fn catalog() -> Catalog {
    Catalog { machine_types: vec![machine_type("small", 4.0, &[]), machine_type("large", 16.0, &["z1"])] }
}

#[test]
fn submission_that_can_never_run_is_refused_with_its_reason() {
    use RefusalReason::{NoMachineTypeFits, OverTeamLimit, UnknownTeam};
    let base = || submission("wk-1");
    let zone = |zone: &str, cores: f64| Submission { zone: Some(zone.into()), cores, ..base() };
    let only = |name: &str, cores: f64| Submission { machine_types: Some(vec![name.into()]), cores, ..base() };
    let concurrent = |kind: JobKind, tasks: u32| Submission { kind, tasks, ..base() };
    let cases = [
        ("an array of small tasks", base(), Ok(())),
        ("a team that is not configured", Submission { team: "nobody".into(), ..base() }, Err(UnknownTeam)),
        ("larger than any machine", Submission { cores: 17.0, ..base() }, Err(NoMachineTypeFits)),
        ("fits only the large type, in its zone", zone("z1", 8.0), Ok(())),
        ("fits only the large type, in another zone", zone("z2", 8.0), Err(NoMachineTypeFits)),
        ("a type without zones is in all zones", zone("z2", 4.0), Ok(())),
        ("fits the named type", only("small", 4.0), Ok(())),
        ("too large for the named type", only("small", 8.0), Err(NoMachineTypeFits)),
        ("a type that is not in the catalog", only("other", 1.0), Err(NoMachineTypeFits)),
        ("one task over the team's limit", Submission { cores: 9.0, ..base() }, Err(OverTeamLimit)),
        ("an array needs one task at a time", concurrent(JobKind::Array, 100), Ok(())),
        ("a gang within the limit", concurrent(JobKind::Gang, 4), Ok(())),
        ("a gang over the limit", concurrent(JobKind::Gang, 5), Err(OverTeamLimit)),
        ("a service over the limit", concurrent(JobKind::Service, 5), Err(OverTeamLimit)),
    ];
    for (case, submission, expected) in cases {
        assert_eq!(check(&settings(), &catalog(), &submission), expected, "{case}");
    }
}
