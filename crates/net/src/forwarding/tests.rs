use super::*;

fn body(length: usize) -> Bytes {
    Bytes::from(vec![b' '; length])
}

fn status_for_peer(request: &StateRequest, result: Result<HttpResponse, IoError>) -> u16 {
    response_for_peer(request, result).status
}

#[test]
fn a_peer_is_told_what_it_would_have_understood_itself() {
    let get = StateRequest::Get { key: "k".into() };
    let watch = StateRequest::Watch { prefix: "k".into(), after: 0, hold_ms: 0 };
    let large = || Ok(HttpResponse { status: 200, body: body(MAX_FORWARDED_BODY + 1) });
    let fits = HttpResponse { status: 200, body: body(MAX_FORWARDED_BODY) };
    assert_eq!(response_for_peer(&get, Ok(fits.clone())), fits);
    assert_eq!(status_for_peer(&get, large()), NO_RESPONSE);
    assert_eq!(status_for_peer(&watch, large()), GONE);
    assert_eq!(status_for_peer(&get, Err(IoError::NotSent)), SERVICE_UNAVAILABLE);
    assert_eq!(status_for_peer(&get, Err(IoError::Busy)), SERVICE_UNAVAILABLE);
    assert_eq!(status_for_peer(&get, Err(IoError::Unknown)), NO_RESPONSE);
}

#[test]
fn a_request_that_is_given_up_leaves_nothing_behind() {
    let mut requests = ForwardedRequests::new();
    let request = requests.next();
    let (responder, _response) = oneshot::channel();
    requests.responders.borrow_mut().insert(request.id, responder);
    drop(request);
    assert!(requests.responders.borrow().is_empty());
}
