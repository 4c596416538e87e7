use super::{cloud, kv};
use crate::client::HttpResponse;
use shaleshunt_core::io::{CloudReply, CloudRequest};
use shaleshunt_core::{KvReply, KvRequest, RequestError};
use shaleshunt_wire::Revision;

/// Method, path and body of a request in one line.
fn request_line(request: &super::EncodedRequest) -> String {
    format!("{} {} {}", request.method, request.path, String::from_utf8_lossy(&request.body))
}

fn response(status: u16, body: &'static str) -> HttpResponse {
    HttpResponse { status, body: body.into() }
}

#[test]
fn store_requests_are_encoded_as_the_protocol_requires() {
    let scan = |after: &str| KvRequest::Scan { prefix: "j/".into(), after: after.into() };
    let watch = KvRequest::Watch { prefix: "a b".into(), after: Revision(7), max_wait_ms: 50 };
    for (request, expected) in [
        (KvRequest::Get { key: "l/epoch".into() }, "GET /kv/l/epoch "),
        (scan(""), "GET /kv?prefix=j/&most=1000 "),
        (scan("j/wk&1"), "GET /kv?prefix=j/&after=j/wk%261&most=1000 "),
        (KvRequest::GrantLease { ttl_ms: 900 }, r#"POST /holds {"lifeMs":900}"#),
        (KvRequest::RenewLease { lease: 5 }, "POST /holds/5/renew {}"),
        (KvRequest::RevokeLease { lease: 5 }, "DELETE /holds/5 "),
        (watch, "GET /watch?prefix=a%20b&after=7&holdMs=50 "),
    ] {
        assert_eq!(request_line(&kv::encode(&request)), expected);
    }
}

#[test]
fn store_statuses_are_mapped_to_replies_and_errors() {
    let get = KvRequest::Get { key: "k".into() };
    let watch = KvRequest::Watch { prefix: "k".into(), after: Revision::ABSENT, max_wait_ms: 0 };
    for (status, error) in [
        (0, RequestError::OutcomeUnknown),
        (429, RequestError::Throttled),
        (503, RequestError::Unavailable),
        (500, RequestError::OutcomeUnknown),
        (200, RequestError::MalformedResponse),
        (418, RequestError::MalformedResponse),
    ] {
        assert_eq!(kv::decode(&get, &response(status, "")), Err(error), "{status}");
    }
    let rejected = kv::decode(&get, &response(400, r#"{"error":"bad key"}"#));
    assert_eq!(rejected, Err(RequestError::Rejected("bad key".into())));
    assert_eq!(kv::decode(&get, &response(400, "")), Err(RequestError::Rejected("no reason given".into())));
    assert_eq!(kv::decode(&get, &response(404, "")), Ok(KvReply::Missing));
    assert_eq!(kv::decode(&watch, &response(410, "")), Ok(KvReply::Compacted));
    assert_eq!(kv::decode(&KvRequest::RenewLease { lease: 1 }, &response(204, "")), Ok(KvReply::Done));
}

#[test]
fn missing_capacity_of_the_cloud_is_distinguished_from_unavailability_and_rejection() {
    let scale_out = shaleshunt_wire::cloud::ScaleOutRequest {
        request: "k".into(),
        machine_type: "f".into(),
        zone: "a".into(),
        spot: false,
        count: 1,
    };
    let decode = |status, body| cloud::decode(&CloudRequest::ScaleOut(scale_out.clone()), &response(status, body));
    assert_eq!(decode(503, r#"{"error":"no capacity"}"#), Ok(CloudReply::NoCapacity));
    assert_eq!(decode(503, r#"{"error":"busy"}"#), Err(RequestError::Unavailable));
    assert_eq!(decode(429, ""), Err(RequestError::Throttled));
    assert_eq!(decode(404, r#"{"error":"no such type"}"#), Err(RequestError::Rejected("no such type".into())));
    assert_eq!(decode(500, ""), Err(RequestError::OutcomeUnknown));
    let list = |after: &str| request_line(&cloud::encode(&CloudRequest::List { after: after.into() }));
    assert_eq!(list(""), "GET /machines?most=500 ");
    assert_eq!(list("m 1"), "GET /machines?after=m%201&most=500 ");
}
