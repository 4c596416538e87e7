//! Stand-ins for the outside world and the runner of scenarios.
