//! Runs real controllers on the loopback interface against stand-ins of everything around them, and
//! measures what they use. Not a part of the service; `docs/measuring.md` says how to use it.

mod controllers;
mod http;
mod machines;
mod services;
mod users;

use clap::Parser;
use controllers::{Controller, Usage};
use machines::{Counts, Fleet};
use shaleshunt_core::settings::Limits;
use shaleshunt_testkit::cloud::Cloud;
use shaleshunt_testkit::state::StateService;
use shaleshunt_testkit::worker::Worker;
use shaleshunt_wire::Resources;
use shaleshunt_wire::cloud::{Catalog, MachineType};
use std::cell::RefCell;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::Instant;

/// Controllers of one site.
const CONTROLLERS: usize = 3;
/// Interval between two lines of output.
const LINE: Duration = Duration::from_secs(5);

/// Loads three real controllers with stand-in machines and users on this machine.
#[derive(Parser)]
struct Arguments {
    /// The program to measure.
    #[arg(long, default_value = "target/release/shaleshunt")]
    program: PathBuf,
    /// Folder for settings and logs.
    #[arg(long, default_value = "target/loopback")]
    folder: PathBuf,
    /// Number of machines.
    #[arg(long, default_value_t = 1170)]
    machines: u32,
    /// Reporting interval of a machine, in seconds.
    #[arg(long, default_value_t = 5.0)]
    heartbeat_interval_s: f64,
    /// Lease of a machine, in seconds.
    #[arg(long, default_value_t = 27.0)]
    lease_s: f64,
    /// Jobs of forty tasks submitted a second.
    #[arg(long, default_value_t = 2.5)]
    jobs_per_s: f64,
    /// Mean run time of a task, in seconds.
    #[arg(long, default_value_t = 30.0)]
    task_s: f64,
    /// Length of the run, in seconds.
    #[arg(long, default_value_t = 60.0)]
    seconds: f64,
    /// Sockets that a controller may have open.
    #[arg(long, default_value_t = 4000)]
    sockets: usize,
    /// Memory that a controller may hold, in MiB.
    #[arg(long, default_value_t = 85.0)]
    mem_mb: f64,
    /// Times at which the controller that uses most is ended and started again, in seconds.
    #[arg(long, value_delimiter = ',')]
    end_leader_at: Vec<f64>,
    /// Times at which all controllers are ended and started again, in seconds.
    #[arg(long, value_delimiter = ',')]
    end_all_at: Vec<f64>,
}

fn main() -> std::io::Result<()> {
    let arguments = Arguments::parse();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    tokio::task::LocalSet::new().block_on(&runtime, run(arguments))
}

async fn run(arguments: Arguments) -> std::io::Result<()> {
    std::fs::create_dir_all(&arguments.folder)?;
    let began = Instant::now();
    let cloud = Rc::new(RefCell::new(cloud()));
    let mut state = StateService::default();
    state.limits = Limits { value_kb: 16.0, txn_ops: 24, write_rps: 80.0 };
    state.rps = 200.0;
    state.page_size = 1000;
    let (state_address, state_listener) = listen().await?;
    let (cloud_address, cloud_listener) = listen().await?;
    services::serve_state(state_listener, state, began);
    services::serve_cloud(cloud_listener, cloud.clone(), began);
    let (nodes, reserved) = reserve_addresses().await?;
    let fleet = Rc::new(Fleet {
        controllers: nodes.iter().map(|node| (node.node_name.clone(), node.front.clone())).collect(),
        jobs: RefCell::default(),
        report: Duration::from_secs_f64(arguments.heartbeat_interval_s),
        began,
        counts: RefCell::default(),
        completed: RefCell::default(),
        unheard: RefCell::default(),
    });
    start_machines(&fleet, &cloud, &arguments).await?;
    drop(reserved);
    let mut controllers = Vec::new();
    for node in &nodes {
        let settings = settings(node, &nodes, &arguments, &state_address, &cloud_address);
        controllers.push(Controller::start(&arguments.program, &arguments.folder, &node.node_name, &settings)?);
    }
    let jobs = Rc::new(users::Jobs::default());
    let team = "team".to_string();
    tokio::task::spawn_local(users::submit_all(
        fleet.clone(),
        jobs.clone(),
        team,
        arguments.jobs_per_s,
        arguments.task_s,
    ));
    watch(&arguments, &fleet, &mut controllers).await?;
    println!("jobs: {} submitted, {} done", jobs.submitted.get(), jobs.done.get());
    Ok(())
}

/// Prints what the controllers use, line by line, and ends the busiest at the given times.
async fn watch(arguments: &Arguments, fleet: &Fleet, controllers: &mut [Controller]) -> std::io::Result<()> {
    let began = Instant::now();
    let mut ends = arguments.end_leader_at.clone();
    let mut ends_of_all = arguments.end_all_at.clone();
    for times in [&mut ends, &mut ends_of_all] {
        times.sort_by(|left, right| right.total_cmp(left));
    }
    let mut before: Vec<Usage> = controllers.iter().map(Controller::usage).collect();
    let mut counted = *fleet.counts.borrow();
    while began.elapsed().as_secs_f64() < arguments.seconds {
        tokio::time::sleep(LINE).await;
        let usage: Vec<Usage> = controllers.iter().map(Controller::usage).collect();
        let counts = *fleet.counts.borrow();
        println!("{}", line(began.elapsed(), controllers, (&before, &usage), (&counted, &counts)));
        let elapsed = began.elapsed().as_secs_f64();
        if ends.last().is_some_and(|at| elapsed >= *at) {
            ends.pop();
            let used = |i: &usize| usage[*i].user_s - before[*i].user_s;
            let busiest = (0..controllers.len()).max_by(|left, right| used(left).total_cmp(&used(right)));
            if let Some(controller) = busiest.and_then(|i| controllers.get_mut(i)) {
                controller.restart()?;
                fleet.expect_all();
                println!(
                    "{elapsed:5.0} s: {} ended and started again, process {}",
                    controller.node_name,
                    controller.id()
                );
            }
        }
        if ends_of_all.last().is_some_and(|at| elapsed >= *at) {
            ends_of_all.pop();
            for controller in controllers.iter_mut() {
                controller.restart()?;
            }
            fleet.expect_all();
            println!("{elapsed:5.0} s: all controllers ended and started again");
        }
        before = controllers.iter().map(Controller::usage).collect();
        counted = counts;
    }
    Ok(())
}

fn line(at: Duration, controllers: &[Controller], usage: (&[Usage], &[Usage]), counts: (&Counts, &Counts)) -> String {
    let per_second = |before: f64, after: f64| (after - before) / LINE.as_secs_f64();
    let of = |(controller, (before, after)): (&Controller, (&Usage, &Usage))| {
        format!(
            "{} {:.1}+{:.1} ms/s {:.0} MiB {} sockets",
            controller.node_name,
            per_second(before.user_s, after.user_s) * 1000.0,
            per_second(before.system_s, after.system_s) * 1000.0,
            after.resident_mib,
            after.sockets,
        )
    };
    let nodes: Vec<String> = controllers.iter().zip(usage.0.iter().zip(usage.1)).map(of).collect();
    let (before, after) = counts;
    format!(
        "{:5.0} s: {}; a second {:.0} reports, {:.0} redirects, {:.0} calls; {} leases lost",
        at.as_secs_f64(),
        nodes.join(", "),
        per_second(before.reports as f64, after.reports as f64),
        per_second(before.redirects as f64, after.redirects as f64),
        per_second(before.calls as f64, after.calls as f64),
        after.leases_lost,
    )
}

async fn listen() -> std::io::Result<(String, TcpListener)> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    Ok((listener.local_addr()?.to_string(), listener))
}

/// Label, zone and addresses of a controller.
struct Node {
    node_name: String,
    zone: String,
    front: String,
    back: String,
}

/// Addresses for the controllers, which bind them when they start. The listeners keep them until then.
async fn reserve_addresses() -> std::io::Result<(Vec<Node>, Vec<TcpListener>)> {
    let mut nodes = Vec::new();
    let mut reserved = Vec::new();
    for number in 0..CONTROLLERS {
        let (front, front_listener) = listen().await?;
        let (back, back_listener) = listen().await?;
        reserved.extend([front_listener, back_listener]);
        nodes.push(Node { node_name: format!("node-{number}"), zone: zone(number), front, back });
    }
    Ok((nodes, reserved))
}

fn zone(number: usize) -> String {
    format!("zone-{number}")
}

fn machine_type() -> MachineType {
    MachineType {
        name: "type".into(),
        cores: 32.0,
        accelerators: 0.0,
        memory_gb: 64.0,
        local_gb: 80.0,
        fetch_gb_per_s: 0.5,
        price: 2.0,
        spot_price: 0.5,
        boot_s: 25.0,
        zones: (0..CONTROLLERS).map(zone).collect(),
    }
}

/// A cloud that has the fleet's type and nothing more to rent.
fn cloud() -> Cloud {
    let mut cloud = Cloud::default();
    cloud.catalog = Catalog { machine_types: vec![machine_type()] };
    cloud
}

async fn start_machines(fleet: &Rc<Fleet>, cloud: &RefCell<Cloud>, arguments: &Arguments) -> std::io::Result<()> {
    let machine_type = machine_type();
    let lease_ms = (arguments.lease_s * 1000.0) as u64;
    for number in 0..arguments.machines as usize {
        let zone = zone(number % CONTROLLERS);
        let id = cloud.borrow_mut().give(0, &machine_type.name, &zone, false, Some(0));
        let (_, listener) = listen().await?;
        let worker = Worker::new(
            &id,
            &machine_type.name,
            &zone,
            false,
            machine_type.resources(),
            machine_type.fetch_gb_per_s,
            lease_ms,
            0,
        );
        machines::start(fleet.clone(), worker, listener);
    }
    Ok(())
}

fn settings(node: &Node, nodes: &[Node], arguments: &Arguments, state: &str, cloud: &str) -> String {
    let seeds: String = nodes
        .iter()
        .filter(|other| other.node_name != node.node_name)
        .map(|other| {
            format!(
                "[[seeds]]\nlabel = \"{}\"\nlocation = \"{}\"\naddress = \"{}\"\n",
                other.node_name, other.zone, other.back
            )
        })
        .collect();
    let zones: Vec<String> = (0..CONTROLLERS).map(zone).collect();
    let resources = Resources::new(machine_type().cores, 0.0, 0.0).cores / 1000 * i64::from(arguments.machines);
    format!(
        "label = \"{node_name}\"\nlocation = \"{zone}\"\nfront = \"{front}\"\nback = \"{back}\"\n{seeds}\
         [endpoints]\ncloud = \"{cloud}\"\nstate = \"{state}\"\n\
         [params]\ninitial_size = 3\nzones = {zones:?}\nskew_ms = 5.0\n\
         [[params.teams]]\nname = \"team\"\ncpus = {resources}.0\ncpus_max = {resources}.0\n\
         [[params.objectives]]\nkind = \"wait\"\nclass = \"urgent\"\nwithin_s = 5.0\nshare = 0.9\n\
         [params.workers]\nreport_s = {report:?}\nlease_s = {lease:?}\ncancel_s = {cancel:?}\n\
         [params.state]\nrps = 200.0\nwrite_rps = 80.0\nvalue_kb = 16.0\ntxn_ops = 24\n\
         [params.cloud]\nrps = 5.0\nlist_lag_s = 3.0\n\
         [params.resources]\ncore_share = 0.06\nmem_mb = {mem_mb:?}\nfd_limit = {sockets}\n",
        mem_mb = arguments.mem_mb,
        sockets = arguments.sockets,
        node_name = node.node_name,
        zone = node.zone,
        front = node.front,
        back = node.back,
        report = arguments.heartbeat_interval_s,
        lease = arguments.lease_s,
        cancel = arguments.lease_s * 2.0,
    )
}
