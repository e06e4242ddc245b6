//! Parses requests and renders responses of the HTTP API. The API serves operators (configuration,
//! evacuations, status), upstreams (registrations), clients (directory) and applications
//! (coordination).

mod coordination;
mod http;
pub(super) mod request;
pub(super) mod response;
mod status;

pub(super) use coordination::coordination_status;
pub(super) use http::{HttpRequest, HttpResponse};
pub(super) use request::ApiRequest;
pub(super) use response::ApiResponse;
pub(super) use status::status;
