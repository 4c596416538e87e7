use super::*;

fn body(length: usize) -> Bytes {
    Bytes::from(vec![b' '; length])
}

fn status_for_peer(request: &KvRequest, result: Result<HttpResponse, RequestError>) -> u16 {
    response_for_peer(request, result).status
}

#[test]
fn the_response_for_a_peer_decodes_as_the_original_result() {
    let get = KvRequest::Get { key: "k".into() };
    let watch = KvRequest::Watch { prefix: "k".into(), after: shaleshunt_wire::Revision::ABSENT, max_wait_ms: 0 };
    let large = || Ok(HttpResponse { status: 200, body: body(MAX_RELAYED_BODY_BYTES + 1) });
    let fits = HttpResponse { status: 200, body: body(MAX_RELAYED_BODY_BYTES) };
    assert_eq!(response_for_peer(&get, Ok(fits.clone())), fits);
    assert_eq!(status_for_peer(&get, large()), NO_RESPONSE);
    assert_eq!(status_for_peer(&watch, large()), GONE);
    assert_eq!(status_for_peer(&get, Err(RequestError::NotSent)), SERVICE_UNAVAILABLE);
    assert_eq!(status_for_peer(&get, Err(RequestError::LocalOverload)), SERVICE_UNAVAILABLE);
    assert_eq!(status_for_peer(&get, Err(RequestError::OutcomeUnknown)), NO_RESPONSE);
}

#[test]
fn a_dropped_request_removes_its_responder() {
    let mut requests = RelayedRequests::new();
    let request = requests.next();
    let (responder, _response) = oneshot::channel();
    requests.responders.borrow_mut().insert(request.id, responder);
    drop(request);
    assert!(requests.responders.borrow().is_empty());
}
