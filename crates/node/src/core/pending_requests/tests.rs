//! Each request is answered once. The response to a registration contains the URL for later
//! heartbeats.

use super::{ApiResponse, PendingRequests};
use tokio::sync::oneshot;
use woadstall_control::machine::CallResponse;

const URL: &str = "http://10.1.0.1:7000/v1/instances/i-1";

#[test]
fn a_request_gets_the_answer_with_its_token() {
    let mut pending = PendingRequests::default();
    let tokens = [pending.next_token(), pending.next_token()];
    assert_ne!(tokens[0], tokens[1]);
    let (responder, mut response) = oneshot::channel();
    pending.add(tokens[0], responder);
    pending.complete(tokens[1], CallResponse::Indeterminate);
    assert!(
        response.try_recv().is_err(),
        "the token belongs to another request"
    );
    pending.complete(tokens[0], CallResponse::Acknowledged);
    assert!(matches!(
        response.try_recv(),
        Ok(ApiResponse::Machine(CallResponse::Acknowledged))
    ));
    pending.complete(tokens[0], CallResponse::Acknowledged);
    assert!(
        response.try_recv().is_err(),
        "the request is already answered"
    );
}

#[test]
fn an_accepted_registration_gets_the_address_of_later_heartbeats() {
    for (machine_response, is_accepted) in [
        (CallResponse::Acknowledged, true),
        (CallResponse::Indeterminate, false),
    ] {
        let mut pending = PendingRequests::default();
        let token = pending.next_token();
        let (responder, mut response) = oneshot::channel();
        pending.add_registration(token, responder, Some(URL.to_owned()));
        pending.complete(token, machine_response);
        match response.try_recv() {
            Ok(ApiResponse::Registered { heartbeat_url }) => {
                assert!(is_accepted);
                assert_eq!(heartbeat_url, URL);
            }
            other => assert!(!is_accepted, "{other:?}"),
        }
    }
}
