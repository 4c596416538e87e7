use super::Arguments;
use clap::Parser;

fn parse(arguments: &[&str]) -> Result<Arguments, clap::Error> {
    Arguments::try_parse_from(std::iter::once(&"load-test").chain(arguments))
}

#[test]
fn invalid_values_are_rejected_with_the_argument_and_the_value() {
    for invalid in ["0", "-1", "inf", "many"] {
        let error = parse(&[&format!("--jobs-per-s={invalid}")]).err().unwrap().to_string();
        assert!(error.contains("--jobs-per-s") && error.contains(invalid), "{error}");
    }
}

#[test]
fn restart_times_are_separated_by_commas() {
    let arguments = parse(&["--end-leader-at", "20,40.5", "--end-all-at", "50"]).unwrap();
    assert_eq!(arguments.end_leader_at, [20.0, 40.5]);
    assert_eq!(arguments.end_all_at, [50.0]);
}

#[test]
fn fields_keep_the_flag_names_that_operators_use() {
    let flags = ["--report-s", "3", "--lease-s", "20", "--task-s", "7", "--mem-mb", "60", "--sockets", "9"];
    let arguments = parse(&flags).unwrap();
    assert_eq!((arguments.heartbeat_interval_s, arguments.lease_s, arguments.task_s), (3.0, 20.0, 7.0));
    assert_eq!((arguments.mem_mb, arguments.sockets), (60.0, 9));
}
