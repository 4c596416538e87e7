//! Settings of the operators: properties, each with a default and a range.

/// Names of a property that was renamed.
struct RenamedProperty {
    current: &'static str,
    /// Names of earlier versions, oldest first.
    earlier: &'static [&'static str],
}

/// Properties that were renamed. Their earlier names are still accepted.
const RENAMED: [RenamedProperty; 15] = [
    RenamedProperty { current: "autoscaler.scale-out-wait-s", earlier: &["rent.plain-wait-s"] },
    RenamedProperty { current: "autoscaler.objective-share", earlier: &["rent.aim-share"] },
    RenamedProperty { current: "autoscaler.reserve-boot-times", earlier: &["rent.reserve-boots"] },
    RenamedProperty { current: "autoscaler.interval-s", earlier: &["rent.round-s"] },
    RenamedProperty { current: "autoscaler.idle-before-scale-in-s", earlier: &["rent.idle-s"] },
    RenamedProperty { current: "autoscaler.request-share", earlier: &["rent.call-share"] },
    RenamedProperty { current: "queue.start-within-s", earlier: &["queue.begin-within-s"] },
    RenamedProperty { current: "queue.machine-sample", earlier: &["queue.sample"] },
    RenamedProperty { current: "queue.passes-per-heartbeat", earlier: &["queue.passes-per-report"] },
    RenamedProperty { current: "zone-lease.term-s", earlier: &["block.term-s"] },
    RenamedProperty { current: "leader.lease-heartbeat-intervals", earlier: &["lead.life-reports"] },
    RenamedProperty { current: "store.write-share", earlier: &["state.write-share"] },
    RenamedProperty { current: "store.request-share", earlier: &["state.request-share"] },
    RenamedProperty {
        current: "machine.missed-heartbeats",
        earlier: &["floor.silent-reports", "machine.silent-reports"],
    },
    RenamedProperty { current: "machine.quarantine-s", earlier: &["floor.sick-s", "machine.sick-s"] },
];

/// Current name of the property that had this name in an earlier version; `None` for any other key.
pub fn renamed_key(key: &str) -> Option<&'static str> {
    RENAMED.iter().find(|property| property.earlier.contains(&key)).map(|property| property.current)
}

/// Names that a property got after this earlier one, up to the current name; empty for any other key.
pub fn newer_names(key: &str) -> impl Iterator<Item = &'static str> {
    let position = |property: &RenamedProperty| property.earlier.iter().position(|earlier| *earlier == key);
    let newer = RENAMED.iter().find_map(|property| Some((property, position(property)?)));
    newer.into_iter().flat_map(|(property, at)| property.earlier[at + 1..].iter().copied().chain([property.current]))
}

/// Errors of setting a property.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum PropertyError {
    /// The value is not a decimal number.
    #[error("{key}: not a number: {found}")]
    NotANumber {
        /// The property's current name.
        key: String,
        /// The value that was given.
        found: String,
    },
    /// The value is outside of the property's range.
    #[error("{key}: must be from {min} to {max}, not {found}")]
    OutOfRange {
        /// The property's current name.
        key: String,
        /// Smallest valid value.
        min: f64,
        /// Largest valid value.
        max: f64,
        /// The value that was given.
        found: String,
    },
    /// No property has this name or had it in an earlier version.
    #[error("{key}: no such property")]
    Unknown {
        /// The name that was given.
        key: String,
    },
}

/// A property's name, value and range.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PropertyEntry {
    /// Current name.
    pub key: &'static str,
    /// Value in use.
    pub value: f64,
    /// Smallest valid value.
    pub min: f64,
    /// Largest valid value.
    pub max: f64,
}

macro_rules! tuning {
    ($($(#[doc = $doc:literal])* $field:ident = $key:literal : $default:expr, $min:expr, $max:expr;)*) => {
        /// Settings of the operators. Each has a default; `deploy/shaleshunt.properties` lists them.
        #[derive(Debug, Clone, PartialEq)]
        pub struct Tuning { $($(#[doc = $doc])* pub $field: f64,)* }

        impl Default for Tuning {
            fn default() -> Self { Tuning { $($field: $default,)* } }
        }

        impl Tuning {
            /// All properties with their values and ranges.
            pub fn entries(&self) -> Vec<PropertyEntry> {
                vec![$(PropertyEntry { key: $key, value: self.$field, min: $min, max: $max },)*]
            }

            /// Sets a property by its current name or an earlier one.
            ///
            /// # Errors
            ///
            /// Fails if there is no such property or the value is not a number in the property's range. No property is
            /// changed then.
            pub fn set(&mut self, key: &str, value: &str) -> Result<(), PropertyError> {
                let key = renamed_key(key).unwrap_or(key);
                let number = parse_number(key, value)?;
                match key {
                    $($key => self.$field = check_range(key, number, $min, $max, value)?,)*
                    _ => return Err(PropertyError::Unknown { key: key.to_string() }),
                }
                Ok(())
            }
        }
    };
}

fn parse_number(key: &str, value: &str) -> Result<f64, PropertyError> {
    let not_a_number = |_| PropertyError::NotANumber { key: key.to_string(), found: value.to_string() };
    value.trim().parse().map_err(not_a_number)
}

fn check_range(key: &str, number: f64, min: f64, max: f64, found: &str) -> Result<f64, PropertyError> {
    if number.is_finite() && (min..=max).contains(&number) {
        return Ok(number);
    }
    Err(PropertyError::OutOfRange { key: key.to_string(), min, max, found: found.to_string() })
}

tuning! {
    /// Slack below which a job is offloaded to rented machines, as an allowance for their boot time, in seconds.
    boot_allowance_s = "slack.boot-allowance-s": 60.0, 0.0, 3600.0;
    /// Time that jobs without a deadline wait before they cause a scale-out, in seconds.
    scale_out_wait_s = "autoscaler.scale-out-wait-s": 60.0, 0.0, 86400.0;
    /// Fraction of a class's objective, less a boot time, that its jobs wait before they cause a scale-out.
    objective_share = "autoscaler.objective-share": 0.25, 0.0, 1.0;
    /// Spare capacity that is kept, as the work that arrived within this number of boot times.
    reserve_boot_times = "autoscaler.reserve-boot-times": 2.0, 0.0, 20.0;
    /// Interval between runs of the autoscaler, in seconds.
    autoscaler_interval_s = "autoscaler.interval-s": 1.0, 0.1, 60.0;
    /// Time without tasks after which a rented machine is returned, in seconds.
    idle_before_scale_in_s = "autoscaler.idle-before-scale-in-s": 45.0, 1.0, 86400.0;
    /// Fraction of the cloud's request rate that scale-outs use.
    scale_out_request_share = "autoscaler.request-share": 0.4, 0.01, 1.0;
    /// Time within which a job's first task should start, in seconds. After half of this time a job without started
    /// tasks goes before others of its priority, and after three quarters one task of it goes before all other work.
    start_within_s = "queue.start-within-s": 240.0, 1.0, 86400.0;
    /// Sample size, in machines, of a search for lower-priority tasks to preempt, and of a search for free capacity
    /// after a pass has examined `machines_per_pass` machines.
    machine_sample_size = "queue.machine-sample": 64.0, 1.0, 100000.0;
    /// Machines that a scheduling pass examines for free capacity before it examines only a sample for each further job.
    machines_per_pass = "queue.machines-per-pass": 40000.0, 1.0, 10000000.0;
    /// Maximum number of scheduling passes per heartbeat interval.
    passes_per_heartbeat = "queue.passes-per-heartbeat": 80.0, 1.0, 1000.0;
    /// Longest time for which a controller renews the machine leases of its zone without the leader, in seconds.
    zone_lease_term_s = "zone-lease.term-s": 30.0, 1.0, 600.0;
    /// Duration of the leader lease, in heartbeat intervals of the agents.
    leader_lease_intervals = "leader.lease-heartbeat-intervals": 0.7, 0.2, 10.0;
    /// Fraction of the key-value store's write rate that the leader uses.
    write_share = "store.write-share": 0.7, 0.1, 1.0;
    /// Fraction of the key-value store's request rate that the leader's transactions use.
    transaction_request_share = "store.request-share": 0.2, 0.01, 1.0;
    /// Missed heartbeats after which a rented machine is returned.
    missed_heartbeats = "machine.missed-heartbeats": 3.0, 2.0, 100.0;
    /// Duration of a machine's first quarantine, in seconds; each further one lasts twice as long.
    quarantine_s = "machine.quarantine-s": 45.0, 1.0, 3600.0;
}

#[cfg(test)]
mod tests;
