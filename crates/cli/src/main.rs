//! `shaleshunt`: the controller's command line.

mod settings;

use clap::{Parser, Subcommand};
use std::path::PathBuf;
use std::process::ExitCode;

/// Requests allocate and free many buffers; the system's allocator took longer and held more memory for them.
#[global_allocator]
static ALLOCATOR: tikv_jemallocator::Jemalloc = tikv_jemallocator::Jemalloc;

/// A cluster scheduler: deadline jobs run shortest first on owned machines, and on rented ones when
/// they would be late.
#[derive(Parser)]
#[command(name = "shaleshunt", version)]
struct Cli {
    #[command(subcommand)]
    command: Verb,
}

#[derive(Subcommand)]
enum Verb {
    /// Run a controller until it is stopped.
    Serve(Files),
    /// Check the settings and print what is wrong, field by field.
    Check {
        #[command(flatten)]
        files: Files,
        /// Warn of settings that are too small for so many machines.
        #[arg(long, value_name = "NUMBER")]
        machines: Option<u32>,
    },
}

#[derive(clap::Args)]
struct Files {
    /// The platform's settings (TOML).
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
    /// The operators' own settings (Java-style properties).
    #[arg(long, value_name = "FILE")]
    properties: Option<PathBuf>,
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let (files, serve, machines) = match cli.command {
        Verb::Serve(files) => (files, true, None),
        Verb::Check { files, machines } => (files, false, machines),
    };
    let loaded = match settings::load(&files.config, files.properties.as_deref()) {
        Ok(loaded) => loaded,
        Err(problems) if serve => {
            eprintln!("shaleshunt: settings: {}", problems.join("; "));
            return ExitCode::FAILURE;
        }
        Err(problems) => {
            for p in problems {
                eprintln!("{p}");
            }
            return ExitCode::FAILURE;
        }
    };
    if !serve {
        for warning in &loaded.warnings {
            println!("warning: {warning}");
        }
        for warning in machines.iter().flat_map(|n| shaleshunt_core::capacity::too_small(&loaded.settings, *n)) {
            println!("warning: {warning}");
        }
        println!("settings are fine: node {}, {} peers", loaded.settings.node_name, loaded.wiring.peers.len());
        return ExitCode::SUCCESS;
    }
    let level = match std::env::var("LOG_LEVEL").as_deref() {
        Ok("debug") => tracing::Level::DEBUG,
        Ok("error") => tracing::Level::ERROR,
        _ => tracing::Level::INFO,
    };
    tracing_subscriber::fmt()
        .with_max_level(level)
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .without_time()
        .with_target(false)
        .init();
    for warning in &loaded.warnings {
        tracing::info!(node = %loaded.settings.node_name, event = %"setting_warning", warning = ?warning);
    }
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(e) => {
            eprintln!("shaleshunt: cannot start: {e}");
            return ExitCode::FAILURE;
        }
    };
    let local = tokio::task::LocalSet::new();
    // The loop is one task among those of the connections: what they bring is taken in the same turn of the
    // scheduler. As the outermost future it would be polled only after another look for input, a system
    // call for each request.
    let node = async {
        let node = shaleshunt_net::run(loaded.settings, loaded.tuning, loaded.wiring);
        tokio::task::spawn_local(node).await.map_err(std::io::Error::other)?
    };
    match local.block_on(&runtime, node) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("shaleshunt: cannot listen: {e}");
            ExitCode::FAILURE
        }
    }
}
