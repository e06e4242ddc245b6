//! What a connection is doing.

/// What a connection is doing, for logs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestStage {
    /// No part of a request has been received.
    Idle,
    /// Part of a request head has been received.
    ReceivingHead,
    /// The rest of a request is awaited.
    ReceivingBody,
    /// A complete request has no response.
    AwaitingResponse,
    /// A response is being sent.
    SendingResponse,
}

impl RequestStage {
    /// The name of the stage in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Idle => "idle",
            Self::ReceivingHead => "receiving_head",
            Self::ReceivingBody => "receiving_body",
            Self::AwaitingResponse => "awaiting_response",
            Self::SendingResponse => "sending_response",
        }
    }
}
