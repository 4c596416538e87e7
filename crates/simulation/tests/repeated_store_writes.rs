//! Transactions that were committed and answered and arrive once more, late: they leave nothing behind.

use shaleshunt_simulation::scenario::{RunOptions, ScenarioFile};
use shaleshunt_simulation::simulation::{RepeatedKind, Repetition};
use std::path::Path;

/// Number of seeds of each scenario.
const SEEDS: u64 = 20;

#[test]
fn late_copy_of_a_write_of_parts_leaves_no_part_after_the_end_of_the_job() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios/store");
    let repeated = Repetition { kind: RepeatedKind::StoreWrites, percent: 50, delay_ms: 500..=30_000 };
    let options = RunOptions { seed_count: Some(SEEDS), logged_seed: None, repetitions: vec![repeated] };
    for name in ["ends_with_lost_answers", "submission_larger_than_value"] {
        let file = ScenarioFile { name: name.into(), path: folder.join(name).with_extension("txt") };
        let problems = file.load().unwrap().run(&options);
        assert!(problems.is_empty(), "{name}: {}", problems.join("\n"));
    }
}
