//! Processes of the real controllers: started, killed and restarted.

use crate::error::LoadTestError;
use crate::process_usage::ProcessUsage;
use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// A controller's process, killed when this value is dropped.
pub struct Controller {
    /// Node name, the `label` of its settings file.
    pub node_name: String,
    program: PathBuf,
    settings_path: PathBuf,
    log_path: PathBuf,
    process: Child,
}

impl Controller {
    /// Writes the settings file `NODE_NAME.toml` to `folder` and starts a controller with it. The controller's log is
    /// appended to `NODE_NAME.log` beside it.
    pub fn start(program: &Path, folder: &Path, node_name: &str, settings: &str) -> Result<Controller, LoadTestError> {
        let settings_path = folder.join(format!("{node_name}.toml"));
        std::fs::write(&settings_path, settings)
            .map_err(|source| LoadTestError::Write { path: settings_path.clone(), source })?;
        let log_path = folder.join(format!("{node_name}.log"));
        let process = spawn(program, &settings_path, &log_path)?;
        Ok(Controller { node_name: node_name.into(), program: program.into(), settings_path, log_path, process })
    }

    /// Kills the process and starts it again with the same settings and log file.
    pub fn restart(&mut self) -> Result<(), LoadTestError> {
        self.kill();
        self.process = spawn(&self.program, &self.settings_path, &self.log_path)?;
        Ok(())
    }

    /// Kills the process without a chance to shut down, and waits until it has ended.
    pub fn kill(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }

    /// Process id, which changes with each restart.
    pub fn process_id(&self) -> u32 {
        self.process.id()
    }

    /// Resource usage since the last start.
    pub fn usage(&self) -> ProcessUsage {
        ProcessUsage::of(self.process_id())
    }
}

impl Drop for Controller {
    fn drop(&mut self) {
        self.kill();
    }
}

fn spawn(program: &Path, settings_path: &Path, log_path: &Path) -> Result<Child, LoadTestError> {
    let opened = File::options().create(true).append(true).open(log_path);
    let log = opened.map_err(|source| LoadTestError::Write { path: log_path.into(), source })?;
    let mut command = Command::new(program);
    command.args(["serve", "--config"]).arg(settings_path).stdin(Stdio::null()).stderr(log);
    command.spawn().map_err(|source| LoadTestError::Start { program: program.into(), source })
}
