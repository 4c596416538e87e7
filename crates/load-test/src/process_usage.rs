//! Resource usage of a process, read from `/proc`.

use std::fs;

/// Clock ticks per second in `/proc/PID/stat` (`USER_HZ`), the same on all present Linux systems.
const TICKS_PER_SECOND: f64 = 100.0;
/// Field of `/proc/PID/stat` that follows the process name, counted from 1.
const FIRST_FIELD_AFTER_NAME: usize = 3;
/// Field of `/proc/PID/stat` with the CPU time in user mode, in clock ticks.
const USER_TIME_FIELD: usize = 14;
/// Field of `/proc/PID/stat` with the CPU time in kernel mode, in clock ticks.
const SYSTEM_TIME_FIELD: usize = 15;

/// CPU time since the start of a process, and its present memory and sockets.
#[derive(Debug, Default, Clone, Copy)]
pub struct ProcessUsage {
    /// CPU time in user mode, in seconds.
    pub user_s: f64,
    /// CPU time in kernel mode, in seconds.
    pub system_s: f64,
    /// Resident memory, in MiB.
    pub resident_mib: f64,
    /// Number of open sockets.
    pub sockets: usize,
}

impl ProcessUsage {
    /// Reads the usage of a process; all values are 0 if the process has ended.
    pub fn of(process: u32) -> ProcessUsage {
        let stat = fs::read_to_string(format!("/proc/{process}/stat")).unwrap_or_default();
        ProcessUsage {
            user_s: cpu_time_s(&stat, USER_TIME_FIELD),
            system_s: cpu_time_s(&stat, SYSTEM_TIME_FIELD),
            resident_mib: resident_mib(process),
            sockets: open_sockets(process),
        }
    }
}

fn cpu_time_s(stat: &str, field: usize) -> f64 {
    // The process name stands in parentheses and may contain spaces.
    let after_name = stat.rsplit(')').next().unwrap_or_default();
    let text = after_name.split_whitespace().nth(field - FIRST_FIELD_AFTER_NAME);
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
