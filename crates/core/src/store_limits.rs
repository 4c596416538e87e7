//! Limits of the key-value store that are in force: sizes of values and transactions, and the rate of writes.
//!
//! The sizes in force are the smaller of the present quota and of the announced next one, so the time at which the
//! store switches between them does not matter. The rate in force is the present one until throttling shows that the
//! store has reduced it. A quota that shrinks without an announcement shows as rejected requests and as throttling too.
//!
//! Invariants: sizes never grow, and the rate stays between a lower bound and the highest rate known to be granted.

use crate::settings::{Settings, StoreQuota};

/// Lower bound of the value size, in KiB: a job's record takes about half of it.
const MIN_VALUE_KIB: f64 = 1.0;
/// Lower bound of the writes in a transaction: the end of a job takes three.
const MIN_WRITES_PER_TRANSACTION: usize = 3;
/// Throttled transactions, less committed ones, that prove that an announced lower rate is in force.
const THROTTLED_IF_ANNOUNCED: u32 = 4;
/// Throttled transactions, less committed ones, that prove that the rate is lower if none was announced.
const THROTTLED_IF_UNANNOUNCED: u32 = 16;
/// Factor of an unannounced decrease. The rate decreases at most once per heartbeat interval, because throttling goes
/// on until the store has worked off the excess writes.
const RATE_DECREASE_FACTOR: f64 = 0.85;
/// Factor by which a decreased rate grows per heartbeat interval.
const RATE_INCREASE_FACTOR: f64 = 1.03;
/// Fraction of the granted rate below which an unannounced decrease does not go.
const MIN_RATE_FRACTION: f64 = 0.5;
/// Fraction of an announced rate below which a further decrease does not go.
const MIN_ANNOUNCED_RATE_FRACTION: f64 = 0.85;
/// Bytes that a machine takes in its machine block's record, images included.
const BYTES_PER_MACHINE: usize = 200;
/// Bytes of half a present value reserved per machine of a machine block. A change writes the whole block, so blocks do
/// not fill a large value.
const HALF_VALUE_BYTES_PER_MACHINE: usize = 180;
/// Machines that a machine block may hold even if half a value is smaller.
const MIN_BLOCK_MACHINES: usize = 9;

/// Limits of the key-value store as far as this process knows them.
#[derive(Debug, Clone)]
pub(crate) struct StoreLimits {
    in_force: StoreQuota,
    /// Half of the largest value of the present quota, in bytes. Task pages stay below it because a page is written
    /// again with each addition until it is full.
    half_value_bytes: usize,
    /// Announced rate that is lower than the present one, in writes per second; `None` if there is none or once it is
    /// in force.
    announced_rate: Option<f64>,
    /// Upper bound of the rate and target of its recovery, in writes per second.
    max_rate: f64,
    /// Lower bound of the rate, in writes per second.
    min_rate: f64,
    /// Throttled transactions, less committed ones.
    throttled: u32,
    decreased_at_ms: u64,
    increased_at_ms: u64,
}

impl StoreLimits {
    /// Limits that follow from the settings alone.
    pub fn new(settings: &Settings) -> StoreLimits {
        let (present, next) = (&settings.store_quota, settings.next_store_quota.as_ref());
        let in_force = StoreQuota {
            value_kb: next.map_or(present.value_kb, |n| n.value_kb.min(present.value_kb)),
            txn_ops: next.map_or(present.txn_ops, |n| n.txn_ops.min(present.txn_ops)),
            write_rps: present.write_rps,
        };
        StoreLimits {
            half_value_bytes: present.max_value_bytes() / 2,
            announced_rate: next.map(|n| n.write_rps).filter(|r| *r < present.write_rps),
            max_rate: in_force.write_rps,
            min_rate: in_force.write_rps * MIN_RATE_FRACTION,
            throttled: 0,
            decreased_at_ms: 0,
            increased_at_ms: 0,
            in_force,
        }
    }

    /// Maximum number of writes in a transaction.
    pub fn max_writes(&self) -> usize {
        self.in_force.txn_ops
    }

    /// Maximum number of preconditions in a transaction.
    pub fn max_preconditions(&self) -> usize {
        self.in_force.txn_ops * shaleshunt_wire::PRECONDITIONS_PER_WRITE
    }

    /// Rate in force, in writes per second.
    pub fn write_rate(&self) -> f64 {
        self.in_force.write_rps
    }

    /// Largest value in bytes, less a margin for what the store adds.
    pub fn max_value_bytes(&self) -> usize {
        self.in_force.max_value_bytes()
    }

    /// Largest task page in bytes: half of a present value, so that rewriting the newest page stays cheap, or the whole
    /// value in force if that is smaller.
    pub fn max_page_bytes(&self) -> usize {
        self.half_value_bytes.min(self.max_value_bytes())
    }

    /// Maximum number of machines in a machine block.
    pub fn machines_per_block(&self) -> usize {
        let most = (self.half_value_bytes / HALF_VALUE_BYTES_PER_MACHINE).max(MIN_BLOCK_MACHINES);
        (self.max_value_bytes() / BYTES_PER_MACHINE).clamp(1, most)
    }

    /// Halves the sizes after the store rejected a request as too large. Returns false if they are at their lower
    /// bounds already.
    pub fn reduce_sizes(&mut self) -> bool {
        let at_minimum = self.in_force.txn_ops <= MIN_WRITES_PER_TRANSACTION && self.in_force.value_kb <= MIN_VALUE_KIB;
        self.in_force.txn_ops = (self.in_force.txn_ops / 2).max(MIN_WRITES_PER_TRANSACTION.min(self.in_force.txn_ops));
        self.in_force.value_kb = (self.in_force.value_kb / 2.0).max(MIN_VALUE_KIB.min(self.in_force.value_kb));
        !at_minimum
    }

    /// Counts a committed transaction against the throttled ones.
    pub fn record_commit(&mut self) {
        self.throttled = self.throttled.saturating_sub(1);
    }

    /// Counts a throttled transaction of a leader that keeps to its share of the rate. Returns true if the rate is
    /// thereby reduced.
    pub fn record_throttling(&mut self, now_ms: u64, heartbeat_interval_ms: u64) -> bool {
        if self.decreased_at_ms > 0 && now_ms.saturating_sub(self.decreased_at_ms) < heartbeat_interval_ms {
            return false;
        }
        self.throttled += 1;
        let needed = if self.announced_rate.is_some() { THROTTLED_IF_ANNOUNCED } else { THROTTLED_IF_UNANNOUNCED };
        if self.throttled < needed {
            return false;
        }
        (self.throttled, self.decreased_at_ms, self.increased_at_ms) = (0, now_ms, now_ms);
        let before = self.in_force.write_rps;
        match self.announced_rate.take() {
            Some(rate) => {
                (self.max_rate, self.in_force.write_rps) = (rate, rate);
                self.min_rate = rate * MIN_ANNOUNCED_RATE_FRACTION;
            }
            None => self.in_force.write_rps = (before * RATE_DECREASE_FACTOR).max(self.min_rate),
        }
        self.in_force.write_rps < before
    }

    /// Raises a reduced rate by a small factor, once per heartbeat interval, up to the ceiling.
    pub fn recover_rate(&mut self, now_ms: u64, heartbeat_interval_ms: u64) {
        if now_ms.saturating_sub(self.increased_at_ms) >= heartbeat_interval_ms {
            self.increased_at_ms = now_ms;
            self.in_force.write_rps = (self.in_force.write_rps * RATE_INCREASE_FACTOR).min(self.max_rate);
        }
    }
}

#[cfg(test)]
mod tests;
