use super::*;
use crate::model::samples;

const DISK_GB: f64 = 100.0;
const NOW: u64 = 50;

fn jobs() -> BTreeMap<Id, Job> {
    let mut job = samples::job(6);
    job.image = 6;
    BTreeMap::from([(job.id.clone(), job)])
}

fn placement(placement_id: u64, stage: PlacementState) -> Placement {
    Placement { task: placement_id as u32, placement_id, ..samples::placement(stage) }
}

fn machine(placements: Vec<Placement>) -> Machine {
    Machine { placements, ..samples::machine("vm-1") }
}

#[test]
fn findings_that_end_a_placement_are_returned_and_do_not_remove_it() {
    let mut machine = machine((1..=5).map(|id| placement(id, PlacementState::Running)).collect());
    let findings = [
        Finding::Absent,
        Finding::EarlierAgentEpoch,
        Finding::Ended(ExitCause::Done),
        Finding::EndedUnproven,
        Finding::NoChange,
    ];
    let effects = apply_findings(&mut machine, &mut jobs(), &findings, DISK_GB, NOW);
    let expected = FindingEffects {
        earlier_agent_epoch: vec![2],
        absent: vec![1],
        ended: vec![EndedPlacement { placement_id: 3, cause: ExitCause::Done }],
        start_lost: false,
        unfenced: false,
    };
    assert_eq!(effects, expected);
    assert_eq!(machine.placements.len(), 5);
}

#[test]
fn an_unfenced_placement_stays_until_the_token_is_raised() {
    let mut machine = machine(vec![placement(1, PlacementState::Running)]);
    let effects = apply_findings(&mut machine, &mut jobs(), &[Finding::Unfenced], DISK_GB, NOW);
    assert_eq!(effects, FindingEffects { unfenced: true, ..FindingEffects::default() });
}

#[test]
fn a_lost_start_marks_the_placement_as_unsent() {
    let mut machine = machine(vec![placement(1, PlacementState::Committed)]);
    let effects = apply_findings(&mut machine, &mut jobs(), &[Finding::StartLost], DISK_GB, NOW);
    assert_eq!(effects, FindingEffects { start_lost: true, ..FindingEffects::default() });
    assert!(!machine.placements[0].start_sent);
}

#[test]
fn a_task_that_starts_running_is_counted_and_its_image_is_cached() {
    let (mut jobs, mut machine) = (jobs(), machine(vec![placement(1, PlacementState::Committed)]));
    let states = [
        (PlacementState::Fetching, 0, None),
        (PlacementState::Running, 1, Some(NOW + 1)),
        (PlacementState::Running, 1, Some(NOW + 1)),
        (PlacementState::Checkpointing, 1, Some(NOW + 1)),
        (PlacementState::Fetching, 0, Some(NOW + 1)),
    ];
    for (step, (state, running_count, running_since_ms)) in states.into_iter().enumerate() {
        let now = NOW + step as u64;
        let effects = apply_findings(&mut machine, &mut jobs, &[Finding::Present(state)], DISK_GB, now);
        assert_eq!(effects, FindingEffects::default());
        assert_eq!(jobs["wk-1"].tasks.running_count(), running_count, "{state:?}");
        assert_eq!(machine.placements[0].running_since_ms, running_since_ms, "{state:?}");
        assert_eq!(machine.images.contains(6), step > 0, "{state:?}");
    }
    assert!(jobs["wk-1"].tasks.has_started());
}
