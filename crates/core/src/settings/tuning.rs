//! The operators' own settings: properties with a default and a range each.

/// A property that had other names in earlier versions.
struct RenamedProperty {
    current: &'static str,
    /// Names of earlier versions, oldest first.
    earlier: &'static [&'static str],
}

/// Properties that were renamed. Their earlier names are still read.
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

/// The current name of a property that is named by an earlier one; `None` for any other key.
pub fn renamed_key(key: &str) -> Option<&'static str> {
    RENAMED.iter().find(|property| property.earlier.contains(&key)).map(|property| property.current)
}

/// The names that a renamed property got after this earlier one, up to the current name; none for any other key.
pub fn newer_names(key: &str) -> impl Iterator<Item = &'static str> {
    let position = |property: &RenamedProperty| property.earlier.iter().position(|earlier| *earlier == key);
    let newer = RENAMED.iter().find_map(|property| Some((property, position(property)?)));
    newer.into_iter().flat_map(|(property, at)| property.earlier[at + 1..].iter().copied().chain([property.current]))
}

/// Why a property could not be set.
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
    /// The value is not in the property's range.
    #[error("{key}: must be from {min} to {max}, not {found}")]
    OutOfRange {
        /// The property's current name.
        key: String,
        /// The least value.
        min: f64,
        /// The greatest value.
        max: f64,
        /// The value that was given.
        found: String,
    },
    /// No property has this name, and none had it in an earlier version.
    #[error("{key}: no such property")]
    Unknown {
        /// The name that was given.
        key: String,
    },
}

/// A property with its value and range.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PropertyEntry {
    /// Its name.
    pub key: &'static str,
    /// Its value.
    pub value: f64,
    /// The least value.
    pub min: f64,
    /// The greatest value.
    pub max: f64,
}

macro_rules! tuning {
    ($($(#[doc = $doc:literal])* $field:ident = $key:literal : $default:expr, $min:expr, $max:expr;)*) => {
        /// The operators' own settings. Every one has a default; `deploy/shaleshunt.properties` lists them.
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
            /// If there is no such property, the value is no number, or it is out of range. The property then keeps
            /// its value.
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
    /// Boot allowance: a task with less slack than this is offloaded to rented machines. In seconds.
    boot_allowance_s = "slack.boot-allowance-s": 60.0, 0.0, 3600.0;
    /// Jobs without a deadline cause a scale-out after waiting for this time. In seconds.
    scale_out_wait_s = "autoscaler.scale-out-wait-s": 60.0, 0.0, 86400.0;
    /// Share of a class's objective, less a boot time, that its jobs wait before they cause a scale-out.
    objective_share = "autoscaler.objective-share": 0.25, 0.0, 1.0;
    /// Spare capacity is kept for as much work as arrived within this many boot times.
    reserve_boot_times = "autoscaler.reserve-boot-times": 2.0, 0.0, 20.0;
    /// Interval between runs of the autoscaler. In seconds.
    autoscaler_interval_s = "autoscaler.interval-s": 1.0, 0.1, 60.0;
    /// A rented machine without tasks is returned after this time. In seconds.
    idle_before_scale_in_s = "autoscaler.idle-before-scale-in-s": 45.0, 1.0, 86400.0;
    /// Share of the cloud's request rate that scale-outs use.
    scale_out_request_share = "autoscaler.request-share": 0.4, 0.01, 1.0;
    /// A job of which no task has started after half of this time goes before others of its urgency, and after
    /// three quarters one task of it goes before everything. In seconds.
    start_within_s = "queue.start-within-s": 240.0, 1.0, 86400.0;
    /// Machines examined, as a sample, when less urgent tasks are to be preempted.
    machine_sample_size = "queue.machine-sample": 64.0, 1.0, 100000.0;
    /// Machines examined for free capacity in one pass over the queue before each further job gets a sample only.
    machines_per_pass = "queue.machines-per-pass": 40000.0, 1.0, 10000000.0;
    /// Passes over the queue in a heartbeat interval, at most.
    passes_per_heartbeat = "queue.passes-per-heartbeat": 80.0, 1.0, 1000.0;
    /// Longest time for which a controller renews leases of its zone's machines without the leader. In seconds.
    zone_lease_term_s = "zone-lease.term-s": 30.0, 1.0, 600.0;
    /// The leader's lease at the key-value store, in heartbeat intervals of the agents.
    leader_lease_intervals = "leader.lease-heartbeat-intervals": 0.7, 0.2, 10.0;
    /// Share of the key-value store's write rate that the leader uses.
    write_share = "store.write-share": 0.7, 0.1, 1.0;
    /// Share of the key-value store's request rate that the leader's transactions use.
    transaction_request_share = "store.request-share": 0.2, 0.01, 1.0;
    /// A rented machine that is silent for this many heartbeat intervals is returned.
    missed_heartbeats = "machine.missed-heartbeats": 3.0, 2.0, 100.0;
    /// A machine in quarantine is tried again after this time, doubled each time. In seconds.
    quarantine_s = "machine.quarantine-s": 45.0, 1.0, 3600.0;
}

#[cfg(test)]
mod tests;
