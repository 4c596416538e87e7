//! What the state service grants: how large a value and a transaction may be, and how many changes a
//! second it takes. Sizes are the smaller of today's and of those that will come, so the moment at
//! which they change does not matter. The rate is today's for as long as it is granted: refusals show
//! its fall. Limits that fall without notice show as rejected requests and as refusals too.

use crate::settings::{Limits, Settings};

/// A value never shrinks below this, in KiB: a job's record takes about half of it.
const LEAST_VALUE_KB: f64 = 1.0;
/// A transaction never shrinks below this: an end takes three changes.
const LEAST_OPS: usize = 3;
/// So many refusals more than grants show that the rate has fallen as was announced; without a word
/// it takes more.
const REFUSALS: u32 = 4;
const REFUSALS_UNTOLD: u32 = 16;
/// What a rate that nobody announced falls to, and rises by in a reporting interval. It falls once in
/// an interval: refusals go on for a while after the fall, until the debt is paid.
const FALL: f64 = 0.85;
const RISE: f64 = 1.03;
/// It never falls below this share, and one that was announced not below that share.
const LEAST_RATE: f64 = 0.5;
const LEAST_ANNOUNCED: f64 = 0.85;

/// Limits in force, as far as this process knows.
#[derive(Debug, Clone)]
pub(crate) struct StoreLimits {
    now: Limits,
    /// Half of a value as it is today: a page is written again and again until it is full.
    half_value: usize,
    next_rate: Option<f64>,
    /// The rate that is strived for.
    ceiling: f64,
    least: f64,
    refusals: u32,
    fell_at: u64,
    risen_at: u64,
}

impl StoreLimits {
    pub fn new(set: &Settings) -> StoreLimits {
        let (today, next) = (&set.state, set.state_next.as_ref());
        let now = Limits {
            value_kb: next.map_or(today.value_kb, |n| n.value_kb.min(today.value_kb)),
            txn_ops: next.map_or(today.txn_ops, |n| n.txn_ops.min(today.txn_ops)),
            write_rps: today.write_rps,
        };
        StoreLimits {
            half_value: today.value_bytes() / 2,
            next_rate: next.map(|n| n.write_rps).filter(|r| *r < today.write_rps),
            ceiling: now.write_rps,
            least: now.write_rps * LEAST_RATE,
            refusals: 0,
            fell_at: 0,
            risen_at: 0,
            now,
        }
    }
    /// Writes per transaction.
    pub fn ops(&self) -> usize {
        self.now.txn_ops
    }
    /// Conditions per transaction.
    pub fn conditions(&self) -> usize {
        self.now.txn_ops * shaleshunt_wire::CONDITIONS_PER_WRITE
    }
    /// Writes a second.
    pub fn rate(&self) -> f64 {
        self.now.write_rps
    }
    /// Bytes that one value may have, with room for its frame.
    pub fn value_bytes(&self) -> usize {
        self.now.value_bytes()
    }
    /// Bytes of a page of facts: half of a value as it is today, so that writing the newest one again
    /// stays cheap, or all of a smaller one.
    pub fn page_bytes(&self) -> usize {
        self.half_value.min(self.value_bytes())
    }
    /// Machines that are kept in one key: with images they take some 200 bytes each, and large values
    /// hold fewer than would fit, since a change writes them all.
    pub fn block_machines(&self) -> usize {
        (self.value_bytes() / 200).clamp(1, (self.half_value / 180).max(9))
    }
    /// A request was called too large: what follows is smaller. False if it cannot be.
    pub fn too_large(&mut self) -> bool {
        let least = self.now.txn_ops <= LEAST_OPS && self.now.value_kb <= LEAST_VALUE_KB;
        self.now.txn_ops = (self.now.txn_ops / 2).max(LEAST_OPS.min(self.now.txn_ops));
        self.now.value_kb = (self.now.value_kb / 2.0).max(LEAST_VALUE_KB.min(self.now.value_kb));
        !least
    }
    /// Changes were carried out.
    pub fn carried_out(&mut self) {
        self.refusals = self.refusals.saturating_sub(1);
    }
    /// The leader's changes were refused as too many, though it keeps to its share. True if the rate is
    /// taken to have fallen.
    pub fn refused(&mut self, now: u64, heartbeat_interval_ms: u64) -> bool {
        if self.fell_at > 0 && now.saturating_sub(self.fell_at) < heartbeat_interval_ms {
            return false;
        }
        self.refusals += 1;
        if self.refusals < if self.next_rate.is_some() { REFUSALS } else { REFUSALS_UNTOLD } {
            return false;
        }
        (self.refusals, self.fell_at, self.risen_at) = (0, now, now);
        let before = self.now.write_rps;
        match self.next_rate.take() {
            Some(rate) => {
                (self.ceiling, self.now.write_rps) = (rate, rate);
                self.least = rate * LEAST_ANNOUNCED;
            }
            None => self.now.write_rps = (before * FALL).max(self.least),
        }
        self.now.write_rps < before
    }
    /// Time passes: a rate that fell without notice is tried again, little by little.
    pub fn run_due(&mut self, now: u64, heartbeat_interval_ms: u64) {
        if now.saturating_sub(self.risen_at) >= heartbeat_interval_ms {
            self.risen_at = now;
            self.now.write_rps = (self.now.write_rps * RISE).min(self.ceiling);
        }
    }
}

#[cfg(test)]
mod tests;
