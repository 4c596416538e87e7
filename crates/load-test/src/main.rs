//! Load test: runs real controllers on the loopback interface against simulated agents, users, store and cloud, and
//! measures the resources that the controllers use. Not part of the service; `docs/measuring.md` explains its use.

#![warn(clippy::wildcard_imports, clippy::missing_errors_doc, clippy::unwrap_used, clippy::too_many_lines)]

mod agents;
mod arguments;
mod cloud_server;
mod controllers;
mod error;
mod failover;
mod fleet;
mod http_client;
mod http_server;
mod monitor;
mod process_usage;
mod settings;
mod site;
mod store_server;
mod users;

use arguments::Arguments;
use clap::Parser;
use controllers::Controller;
use error::LoadTestError;
use monitor::Monitor;
use settings::SettingsFile;
use site::Site;
use std::process::ExitCode;
use std::rc::Rc;

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    match run_to_end(&arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run_to_end(arguments: &Arguments) -> Result<(), LoadTestError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|source| LoadTestError::Runtime { source })?;
    tokio::task::LocalSet::new().block_on(&runtime, run(arguments))
}

async fn run(arguments: &Arguments) -> Result<(), LoadTestError> {
    let site = Site::start(arguments).await?;
    let controllers = start_controllers(&site, arguments)?;
    let jobs = Rc::new(users::JobCounts::default());
    let workload = users::Workload { jobs_per_s: arguments.jobs_per_s, task_s: arguments.task_s };
    tokio::task::spawn_local(users::submit_jobs(site.fleet.clone(), jobs.clone(), workload));
    Monitor::new(site.fleet.clone(), controllers).run(arguments).await?;
    println!("jobs: {} submitted, {} done", jobs.submitted.get(), jobs.done.get());
    Ok(())
}

fn start_controllers(site: &Site, arguments: &Arguments) -> Result<Vec<Controller>, LoadTestError> {
    std::fs::create_dir_all(&arguments.folder)
        .map_err(|source| LoadTestError::Write { path: arguments.folder.clone(), source })?;
    let mut controllers = Vec::new();
    for node in &site.controllers {
        let settings = SettingsFile { site, controller: node, arguments }.to_string();
        controllers.push(Controller::start(&arguments.program, &arguments.folder, &node.node_name, &settings)?);
    }
    Ok(controllers)
}
