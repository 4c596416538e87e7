//! Serves the simulated cloud over HTTP.

use crate::http_server::{self, ReceivedRequest, Reply};
use hyper::Method;
use shaleshunt_core::RequestError;
use shaleshunt_core::io::{CloudReply, CloudRequest};
use shaleshunt_simulation::cloud::Cloud;
use shaleshunt_wire::cloud::MachineNames;
use shaleshunt_wire::paths;
use shaleshunt_wire::user::ErrorBody;
use std::cell::RefCell;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::time::Instant;

/// Serves the cloud until the process ends; the cloud's time counts from `started_at`.
pub fn serve(listener: TcpListener, cloud: Rc<RefCell<Cloud>>, started_at: Instant) {
    http_server::serve(listener, move |received| {
        let cloud = cloud.clone();
        async move {
            let Some(request) = parse_request(&received) else { return Reply::malformed() };
            let mut cloud = cloud.borrow_mut();
            let now_ms = started_at.elapsed().as_millis() as u64;
            cloud.advance(now_ms);
            to_reply(cloud.handle(now_ms, request).reply)
        }
    });
}

fn parse_request(received: &ReceivedRequest) -> Option<CloudRequest> {
    match (&received.method, received.path.as_str()) {
        (&Method::GET, paths::CATALOG) => Some(CloudRequest::Catalog),
        (&Method::GET, paths::MACHINES) => {
            Some(CloudRequest::List { after: received.query_parameter("after").unwrap_or_default() })
        }
        (&Method::POST, paths::MACHINES) => serde_json::from_slice(&received.body).ok().map(CloudRequest::ScaleOut),
        (&Method::POST, paths::RETURN) => {
            let names: MachineNames = serde_json::from_slice(&received.body).ok()?;
            Some(CloudRequest::ScaleIn(names.machines))
        }
        _ => None,
    }
}

fn to_reply(result: Result<CloudReply, RequestError>) -> Reply {
    match result {
        Ok(CloudReply::Catalog(catalog)) => Reply::json(200, &catalog),
        Ok(CloudReply::ScaledOut(machines)) => Reply::json(200, &MachineNames { machines }),
        Ok(CloudReply::NoCapacity) => Reply::json(503, &ErrorBody { error: "no capacity".into() }),
        Ok(CloudReply::ScaledIn) => Reply::empty_object(200),
        Ok(CloudReply::MachineList(page)) => Reply::json(200, &page),
        Err(error) => Reply::failure(&error),
    }
}
