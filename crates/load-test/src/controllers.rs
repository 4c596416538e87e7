//! Real controllers: started as processes, ended and started again.

use crate::error::LoadTestError;
use crate::process_usage::ProcessUsage;
use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// A controller's process.
pub struct Controller {
    /// Label in its settings.
    pub node_name: String,
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    process: Child,
}

impl Controller {
    /// Starts a controller with these settings; its log goes to a file beside them.
    pub fn start(program: &Path, folder: &Path, node_name: &str, settings: &str) -> Result<Controller, LoadTestError> {
        let file = folder.join(format!("{node_name}.toml"));
        std::fs::write(&file, settings).map_err(|source| LoadTestError::Write { path: file.clone(), source })?;
        let log = folder.join(format!("{node_name}.log"));
        let process = spawn(program, &file, &log)?;
        Ok(Controller { node_name: node_name.into(), program: program.into(), settings: file, log, process })
    }

    /// Ends the process at once and starts it again.
    pub fn restart(&mut self) -> Result<(), LoadTestError> {
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
    pub fn usage(&self) -> ProcessUsage {
        ProcessUsage::of(self.id())
    }
}

impl Drop for Controller {
    fn drop(&mut self) {
        self.end();
    }
}

fn spawn(program: &Path, settings: &Path, log: &Path) -> Result<Child, LoadTestError> {
    let opened = File::options().create(true).append(true).open(log);
    let log = opened.map_err(|source| LoadTestError::Write { path: log.into(), source })?;
    let mut command = Command::new(program);
    command.args(["serve", "--config"]).arg(settings).stdin(Stdio::null()).stderr(log);
    command.spawn().map_err(|source| LoadTestError::Start { program: program.into(), source })
}
