use super::{cloud, kv};
use crate::client::HttpResponse;
use shaleshunt_core::io::{CloudReply, CloudRequest};
use shaleshunt_core::{IoError, StateReply, StateRequest};

/// Method, path and body, as the service sees them.
fn written(request: &super::EncodedRequest) -> String {
    format!("{} {} {}", request.method, request.path, String::from_utf8_lossy(&request.body))
}

fn response(status: u16, body: &'static str) -> HttpResponse {
    HttpResponse { status, body: body.into() }
}

#[test]
fn requests_to_the_store_are_written_as_its_protocol_says() {
    let scan = |after: &str| StateRequest::Scan { prefix: "j/".into(), after: after.into() };
    let watch = StateRequest::Watch { prefix: "a b".into(), after: 7, hold_ms: 50 };
    for (request, expected) in [
        (StateRequest::Get { key: "l/epoch".into() }, "GET /kv/l/epoch "),
        (scan(""), "GET /kv?prefix=j/&most=1000 "),
        (scan("j/wk&1"), "GET /kv?prefix=j/&after=j/wk%261&most=1000 "),
        (StateRequest::NewHold { life_ms: 900 }, r#"POST /holds {"lifeMs":900}"#),
        (StateRequest::Renew { pass: 5 }, "POST /holds/5/renew {}"),
        (StateRequest::EndHold { pass: 5 }, "DELETE /holds/5 "),
        (watch, "GET /watch?prefix=a%20b&after=7&holdMs=50 "),
    ] {
        assert_eq!(written(&kv::encode(&request)), expected);
    }
}

#[test]
fn statuses_of_the_store_tell_what_may_have_been_executed() {
    let get = StateRequest::Get { key: "k".into() };
    let watch = StateRequest::Watch { prefix: "k".into(), after: 0, hold_ms: 0 };
    for (status, error) in [
        (0, IoError::Unknown),
        (429, IoError::Throttled),
        (503, IoError::Refused),
        (500, IoError::Unknown),
        (200, IoError::Senseless),
        (418, IoError::Senseless),
    ] {
        assert_eq!(kv::decode(&get, &response(status, "")), Err(error), "{status}");
    }
    let refused = kv::decode(&get, &response(400, r#"{"error":"bad key"}"#));
    assert_eq!(refused, Err(IoError::Rejected("bad key".into())));
    assert_eq!(kv::decode(&get, &response(400, "")), Err(IoError::Rejected("no reason given".into())));
    assert_eq!(kv::decode(&get, &response(404, "")), Ok(StateReply::Missing));
    assert_eq!(kv::decode(&watch, &response(410, "")), Ok(StateReply::TooOld));
    assert_eq!(kv::decode(&StateRequest::Renew { pass: 1 }, &response(204, "")), Ok(StateReply::Fine));
}

#[test]
fn the_cloud_without_a_machine_differs_from_a_cloud_that_refuses() {
    let hire =
        shaleshunt_wire::cloud::Hire { hire: "k".into(), frame: "f".into(), zone: "a".into(), spot: false, count: 1 };
    let decode = |status, body| cloud::decode(&CloudRequest::Hire(hire.clone()), &response(status, body));
    assert_eq!(decode(503, r#"{"error":"no capacity"}"#), Ok(CloudReply::NoCapacity));
    assert_eq!(decode(503, r#"{"error":"busy"}"#), Err(IoError::Refused));
    assert_eq!(decode(429, ""), Err(IoError::Throttled));
    assert_eq!(decode(404, r#"{"error":"no such type"}"#), Err(IoError::Rejected("no such type".into())));
    assert_eq!(decode(500, ""), Err(IoError::Unknown));
    let list = |after: &str| written(&cloud::encode(&CloudRequest::List { after: after.into() }));
    assert_eq!(list(""), "GET /machines?most=500 ");
    assert_eq!(list("m 1"), "GET /machines?after=m%201&most=500 ");
}
