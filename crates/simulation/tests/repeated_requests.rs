//! The simulation delivers executed requests of each kind once more.

use shaleshunt_simulation::scenario::Scenario;
use shaleshunt_simulation::simulation::{RepeatedKind, Repetition};

const SITE: &str = "
machine-type f cores 16 memory 64 boot 3 fetch 10
machines f a 1
capacity f b on-demand 2 spot 0
job wk-1 at 3 tasks 6 cores 10 runtime 5 deadline 8
job wk-2 at 4 tasks 1 cores 1 runtime 60 cancel 20
";

#[test]
fn executed_requests_of_each_kind_arrive_once_more() {
    for kind in RepeatedKind::ALL {
        let mut simulation = Scenario::parse("site", SITE).unwrap().build_simulation(1);
        simulation.repeat_requests(Repetition { kind, percent: 100, delay_ms: 500..=2_000 });
        simulation.run_until(60_000);
        assert!(simulation.repeated_requests() > 0, "no copies of {}", kind.name());
    }
}
