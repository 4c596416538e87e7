//! Direct calls that were executed and answered and arrive once more, late: no task may run because of them.

use shaleshunt_simulation::scenario::{RunOptions, Scenario};

/// Number of seeds of each scenario.
const SEEDS: u64 = 20;
/// Settings of all sites.
const SITE: &str = "
jitter 2
until 90
machine-type f cores 16 memory 64 boot 3 fetch 10
";

/// Simulates a site with further lines, and fails if a rule is broken or an expectation is not met.
fn assert_holds(lines: &str) {
    let scenario = Scenario::parse("repeated direct calls", &format!("{SITE}{lines}")).unwrap();
    let problems = scenario.run(&RunOptions { seed_count: Some(SEEDS), ..RunOptions::default() });
    assert!(problems.is_empty(), "{}", problems.join("\n"));
}

/// Like [`assert_holds`], for a site whose second machine is rented, returned, and rented again under the same address.
fn assert_holds_with_reused_addresses(lines: &str) {
    let site = "reuse-addresses\nmachines f a 1\ncapacity f b on-demand 1 spot 0\nuntil 160";
    assert_holds(&format!("{site}\n{lines}"));
}

#[test]
fn late_copy_of_a_start_does_not_run_a_task_that_failed_and_moved() {
    assert_holds(
        "machines f a 4
         job wk-1 at 5 tasks 3 cores 10 runtime 60 image i
         at 2 fail-tasks vm-000001 for 6
         at 0 repeat-requests direct-calls 100 for 90 by 5 to 30
         expect done wk-1",
    );
}

#[test]
fn late_copy_of_a_start_does_not_run_a_cancelled_task() {
    assert_holds(
        "machines f a 2
         job wk-1 at 3 tasks 4 cores 6 runtime 60 image i cancel 8
         job wk-2 at 3 tasks 2 cores 4 runtime 50 image i
         at 0 repeat-requests direct-calls 100 for 90 by 8 to 60
         expect cancelled wk-1
         expect late-starts within 0
         expect done wk-2",
    );
}

#[test]
fn late_copy_of_a_start_does_not_run_a_completed_task_of_a_job_that_goes_on() {
    assert_holds(
        "machines f a 2
         job wk-1 at 3 tasks 12 cores 10 runtime 5 image i
         job wk-2 at 3 tasks 1 cores 2 runtime 70 image i
         at 0 repeat-requests direct-calls 100 for 90 by 6 to 30
         expect done wk-1
         expect starts 13",
    );
}

#[test]
fn late_copy_of_a_start_does_not_run_a_task_on_a_machine_that_is_back_within_a_second() {
    assert_holds(
        "machines f a 2
         machines f b 2
         job wk-1 at 3 tasks 4 cores 10 runtime 50 image i
         at 10 restart first:2 after 0.6
         at 0 repeat-requests direct-calls 100 for 90 by 2 to 30
         expect done wk-1
         expect starts at-most 6",
    );
}

#[test]
fn late_copy_of_a_start_does_not_run_a_task_on_a_machine_that_is_back_in_the_same_agent_epoch() {
    assert_holds(
        "machines f a 4
         job wk-1 at 3 tasks 3 cores 10 runtime 40 image i
         at 7 reclaim vm-000001 after 75
         at 10 restart vm-000001 after 0.6 keeping-epoch
         at 0 repeat-requests direct-calls 100 for 90 by 12 to 40
         expect done wk-1",
    );
}

#[test]
fn late_copy_of_a_start_does_not_run_a_task_after_a_controller_is_back_within_a_second() {
    assert_holds(
        "machines f a 2
         machines f b 2
         job wk-1 at 3 tasks 8 cores 10 runtime 8 image i
         job wk-2 at 4 tasks 3 cores 5 runtime 60 image i
         job wk-3 at 5 tasks 2 cores 5 runtime 60 image i cancel 12
         at 1 fail-tasks vm-000002 for 12
         at 14 kill leader for 0.5
         at 30 kill leader for 0.5
         at 0 repeat-requests direct-calls 100 for 90 by 1 to 40
         expect late-starts within 0
         expect done wk-1",
    );
}

#[test]
fn late_copy_of_a_start_does_not_exceed_the_limit_of_a_team() {
    assert_holds(
        "team limited limit 5 guarantee 5
         machines f a 2
         job wk-1 at 3 tasks 1 cores 5 runtime 60 image i team limited cancel 9
         job wk-2 at 4 tasks 5 cores 5 runtime 10 image i team limited
         at 0 repeat-requests direct-calls 100 for 90 by 5 to 40
         expect cancelled wk-1
         expect done wk-2",
    );
}

#[test]
fn late_copy_of_a_start_does_not_run_a_task_on_a_new_machine_with_the_address_of_a_returned_one() {
    assert_holds_with_reused_addresses(
        "job wk-1 at 3 tasks 3 cores 14 runtime 70 deadline 20 image i cancel 15
         job wk-2 at 75 tasks 3 cores 14 runtime 10 deadline 5 image i
         at 0 repeat-requests direct-calls 100 for 160 by 60 to 110
         expect machines at-least 1
         expect late-starts within 0",
    );
}

#[test]
fn late_copy_of_a_start_does_not_run_a_task_once_a_machine_with_a_reused_address_was_answered() {
    assert_holds_with_reused_addresses(
        "job wk-1 at 3 tasks 3 cores 9 runtime 70 deadline 20 image i cancel 15
         job wk-2 at 75 tasks 3 cores 6 runtime 60 deadline 5 image i
         at 0 repeat-requests direct-calls 100 for 160 by 80 to 110
         expect late-starts within 0",
    );
}
