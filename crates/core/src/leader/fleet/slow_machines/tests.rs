use super::*;

fn task(elapsed_ms: f64) -> RunningTask {
    RunningTask { elapsed_ms, typical_run_ms: 1000.0 }
}

#[test]
fn a_machine_is_slow_if_three_tasks_and_a_third_of_all_overrun() {
    let cases = [
        ("no task", 0, 0, false),
        ("two overrun", 2, 0, false),
        ("three overrun", 3, 0, true),
        ("a third overruns", 3, 6, true),
        ("less than a third overruns", 3, 7, false),
    ];
    for (name, overrunning, others, expected) in cases {
        let tasks = std::iter::repeat_n(task(1551.0), overrunning).chain(std::iter::repeat_n(task(1550.0), others));
        assert_eq!(is_slow(tasks, 50.0), expected, "{name}");
    }
}
