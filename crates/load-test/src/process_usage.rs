//! What a process uses, as the kernel counts it.

use std::fs;

/// Clock ticks in a second in `/proc/PID/stat`, the same on all Linux systems of today.
const TICKS_PER_SECOND: f64 = 100.0;
/// The field of `/proc/PID/stat` that follows the process's name, counted from 1.
const FIRST_FIELD: usize = 3;
/// The field with the processor time in the process's own code.
const USER_TIME_FIELD: usize = 14;
/// The field with the processor time in the kernel.
const SYSTEM_TIME_FIELD: usize = 15;

/// What a process has used since its start.
#[derive(Debug, Default, Clone, Copy)]
pub struct ProcessUsage {
    /// Processor time in its own code, in seconds.
    pub user_s: f64,
    /// Processor time in the kernel, in seconds.
    pub system_s: f64,
    /// Resident memory in MiB.
    pub resident_mib: f64,
    /// Open sockets.
    pub sockets: usize,
}

impl ProcessUsage {
    /// The usage of a process; all 0 if it has ended.
    pub fn of(process: u32) -> ProcessUsage {
        let stat = fs::read_to_string(format!("/proc/{process}/stat")).unwrap_or_default();
        ProcessUsage {
            user_s: processor_time_s(&stat, USER_TIME_FIELD),
            system_s: processor_time_s(&stat, SYSTEM_TIME_FIELD),
            resident_mib: resident_mib(process),
            sockets: open_sockets(process),
        }
    }
}

fn processor_time_s(stat: &str, field: usize) -> f64 {
    // The name stands in parentheses and may hold spaces.
    let after_name = stat.rsplit(')').next().unwrap_or_default();
    let text = after_name.split_whitespace().nth(field - FIRST_FIELD);
    let ticks: Option<f64> = text.and_then(|text| text.parse().ok());
    ticks.unwrap_or(0.0) / TICKS_PER_SECOND
}

fn resident_mib(process: u32) -> f64 {
    let status = fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib: Option<f64> = resident.and_then(|text| text.split_whitespace().next()?.parse().ok());
    kib.unwrap_or(0.0) / 1024.0
}

fn open_sockets(process: u32) -> usize {
    let Ok(files) = fs::read_dir(format!("/proc/{process}/fd")) else { return 0 };
    let is_socket = |file: &fs::DirEntry| {
        fs::read_link(file.path()).is_ok_and(|target| target.to_string_lossy().starts_with("socket:"))
    };
    files.flatten().filter(is_socket).count()
}
