//! Requests and responses of the HTTP API, for operators (configuration, evacuations, status),
//! upstreams (registrations) and clients (directory): how they are read and written.

pub(super) mod request;
pub(super) mod response;
mod status;

pub(super) use request::ApiRequest;
pub(super) use response::ApiResponse;
pub(super) use status::status;
