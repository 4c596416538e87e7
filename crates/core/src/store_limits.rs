//! Limits of the key-value store that are in force: sizes of values and transactions, and the rate of writes.
//!
//! Sizes are the smaller of the present ones and of those announced for later, so the time at which they change does
//! not matter. The rate is the present one until throttling shows that it has fallen. Limits that fall unannounced
//! show as rejected requests and as throttling too.
//!
//! What always holds: sizes never grow; the rate stays between a floor and the ceiling last known to be granted.

use crate::settings::{Settings, StoreQuota};

/// A value never shrinks below this, in KiB: a job's record takes about half of it.
const MIN_VALUE_KB: f64 = 1.0;
/// A transaction never shrinks below this many writes: the end of a job takes three.
const MIN_OPS: usize = 3;
/// This many throttled transactions, less those carried out, show that the rate has fallen as announced.
const THROTTLED_IF_ANNOUNCED: u32 = 4;
/// It takes this many if nothing was announced.
const THROTTLED_IF_UNANNOUNCED: u32 = 16;
/// Factor of an unannounced decrease. The rate decreases once in a heartbeat interval: throttling goes on for a
/// while afterwards, until the excess has been worked off.
const DECREASE: f64 = 0.85;
/// Factor by which a decreased rate grows in a heartbeat interval.
const INCREASE: f64 = 1.03;
/// The rate never falls below this share of the granted one.
const MIN_RATE_SHARE: f64 = 0.5;
/// An announced rate never falls below this share of it.
const MIN_ANNOUNCED_RATE_SHARE: f64 = 0.85;
/// Bytes that a machine takes in its block's record, images included.
const BYTES_PER_MACHINE: usize = 200;
/// Bytes of half a present value for each machine of a block: a change writes the whole block, so large values are
/// not filled.
const HALF_VALUE_BYTES_PER_MACHINE: usize = 180;
/// Machines that a block may hold however small half a value is.
const MIN_BLOCK_MACHINES: usize = 9;

/// Limits in force, as far as this process knows.
#[derive(Debug, Clone)]
pub(crate) struct StoreLimits {
    now: StoreQuota,
    /// Half of the present largest value, in bytes: a page is written again and again until it is full.
    half_value: usize,
    /// A lower rate that was announced and is not in force yet.
    announced_rate: Option<f64>,
    /// The rate that is aimed for.
    ceiling: f64,
    /// The rate never falls below this.
    floor: f64,
    /// Throttled transactions, less those carried out.
    throttled: u32,
    decreased_at: u64,
    increased_at: u64,
}

impl StoreLimits {
    /// The limits that the settings name.
    pub fn new(settings: &Settings) -> StoreLimits {
        let (today, next) = (&settings.store_quota, settings.next_store_quota.as_ref());
        let now = StoreQuota {
            value_kb: next.map_or(today.value_kb, |n| n.value_kb.min(today.value_kb)),
            txn_ops: next.map_or(today.txn_ops, |n| n.txn_ops.min(today.txn_ops)),
            write_rps: today.write_rps,
        };
        StoreLimits {
            half_value: today.max_value_bytes() / 2,
            announced_rate: next.map(|n| n.write_rps).filter(|r| *r < today.write_rps),
            ceiling: now.write_rps,
            floor: now.write_rps * MIN_RATE_SHARE,
            throttled: 0,
            decreased_at: 0,
            increased_at: 0,
            now,
        }
    }

    /// Most writes in a transaction.
    pub fn max_writes(&self) -> usize {
        self.now.txn_ops
    }

    /// Most conditions in a transaction.
    pub fn max_preconditions(&self) -> usize {
        self.now.txn_ops * shaleshunt_wire::PRECONDITIONS_PER_WRITE
    }

    /// Writes in a second.
    pub fn write_rate(&self) -> f64 {
        self.now.write_rps
    }

    /// Largest value in bytes, less a margin for what the store adds.
    pub fn max_value_bytes(&self) -> usize {
        self.now.max_value_bytes()
    }

    /// Bytes of a page of task facts: half of a present value, so that writing the newest page again stays cheap, or
    /// all of a value that is smaller.
    pub fn max_page_bytes(&self) -> usize {
        self.half_value.min(self.max_value_bytes())
    }

    /// Machines that are kept in one block.
    pub fn machines_per_block(&self) -> usize {
        let most = (self.half_value / HALF_VALUE_BYTES_PER_MACHINE).max(MIN_BLOCK_MACHINES);
        (self.max_value_bytes() / BYTES_PER_MACHINE).clamp(1, most)
    }

    /// A request was rejected as too large: later ones are made smaller. False if they cannot be.
    pub fn reduce_sizes(&mut self) -> bool {
        let smallest = self.now.txn_ops <= MIN_OPS && self.now.value_kb <= MIN_VALUE_KB;
        self.now.txn_ops = (self.now.txn_ops / 2).max(MIN_OPS.min(self.now.txn_ops));
        self.now.value_kb = (self.now.value_kb / 2.0).max(MIN_VALUE_KB.min(self.now.value_kb));
        !smallest
    }

    /// A transaction was carried out.
    pub fn record_commit(&mut self) {
        self.throttled = self.throttled.saturating_sub(1);
    }

    /// The leader's writes were throttled, though it keeps to its share. True if the rate is taken to have fallen.
    pub fn record_throttling(&mut self, now: u64, heartbeat_interval_ms: u64) -> bool {
        if self.decreased_at > 0 && now.saturating_sub(self.decreased_at) < heartbeat_interval_ms {
            return false;
        }
        self.throttled += 1;
        let needed = if self.announced_rate.is_some() { THROTTLED_IF_ANNOUNCED } else { THROTTLED_IF_UNANNOUNCED };
        if self.throttled < needed {
            return false;
        }
        (self.throttled, self.decreased_at, self.increased_at) = (0, now, now);
        let before = self.now.write_rps;
        match self.announced_rate.take() {
            Some(rate) => {
                (self.ceiling, self.now.write_rps) = (rate, rate);
                self.floor = rate * MIN_ANNOUNCED_RATE_SHARE;
            }
            None => self.now.write_rps = (before * DECREASE).max(self.floor),
        }
        self.now.write_rps < before
    }

    /// Raises a rate that fell unannounced again, little by little.
    pub fn recover_rate(&mut self, now: u64, heartbeat_interval_ms: u64) {
        if now.saturating_sub(self.increased_at) >= heartbeat_interval_ms {
            self.increased_at = now;
            self.now.write_rps = (self.now.write_rps * INCREASE).min(self.ceiling);
        }
    }
}

#[cfg(test)]
mod tests;
