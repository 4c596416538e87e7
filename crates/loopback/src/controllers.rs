//! Real controllers: started as processes, ended and started again; their processor time and memory.

use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// Clock ticks in a second in `/proc/PID/stat`, the same on all Linux systems of today.
const TICKS_PER_SECOND: f64 = 100.0;

/// A controller's process.
pub struct Controller {
    /// Label in its settings.
    pub node_name: String,
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    process: Child,
}

/// What a process has used.
#[derive(Debug, Default, Clone, Copy)]
pub struct Usage {
    /// Processor time in its own code, in seconds.
    pub user_s: f64,
    /// Processor time in the kernel, in seconds.
    pub system_s: f64,
    /// Resident memory in MiB.
    pub resident_mib: f64,
    /// Open sockets.
    pub sockets: usize,
}

impl Controller {
    /// Starts a controller with these settings; its log goes to a file beside them.
    pub fn start(program: &Path, folder: &Path, node_name: &str, settings: &str) -> std::io::Result<Controller> {
        let file = folder.join(format!("{node_name}.toml"));
        std::fs::write(&file, settings)?;
        let log = folder.join(format!("{node_name}.log"));
        let process = spawn(program, &file, &log)?;
        Ok(Controller { node_name: node_name.into(), program: program.into(), settings: file, log, process })
    }

    /// Ends the process at once and starts it again.
    pub fn restart(&mut self) -> std::io::Result<()> {
        self.end();
        self.process = spawn(&self.program, &self.settings, &self.log)?;
        Ok(())
    }

    /// Ends the process at once.
    pub fn end(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }

    /// Its process id.
    pub fn id(&self) -> u32 {
        self.process.id()
    }

    /// What it has used since its last start.
    pub fn usage(&self) -> Usage {
        let id = self.process.id();
        let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
        // Fields after the name, which stands in parentheses, begin with the third.
        let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
        let ticks = |field: usize| fields.get(field - 3).and_then(|text| text.parse::<f64>().ok()).unwrap_or(0.0);
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
        let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kib = resident.and_then(|text| text.split_whitespace().next()).and_then(|text| text.parse::<f64>().ok());
        Usage {
            user_s: ticks(14) / TICKS_PER_SECOND,
            system_s: ticks(15) / TICKS_PER_SECOND,
            resident_mib: kib.unwrap_or(0.0) / 1024.0,
            sockets: open_sockets(id),
        }
    }
}

/// How many sockets a process has open.
fn open_sockets(process: u32) -> usize {
    let Ok(files) = std::fs::read_dir(format!("/proc/{process}/fd")) else { return 0 };
    let is_socket = |file: &std::fs::DirEntry| {
        std::fs::read_link(file.path()).is_ok_and(|target| target.to_string_lossy().starts_with("socket:"))
    };
    files.flatten().filter(is_socket).count()
}

impl Drop for Controller {
    fn drop(&mut self) {
        self.end();
    }
}

fn spawn(program: &Path, settings: &Path, log: &Path) -> std::io::Result<Child> {
    let log = File::options().create(true).append(true).open(log)?;
    Command::new(program).args(["serve", "--config"]).arg(settings).stdin(Stdio::null()).stderr(log).spawn()
}
