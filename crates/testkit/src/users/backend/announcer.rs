//! Announcements that a backend server sends to the node on its VM.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

use ::http::Method;

use super::Backend;
use crate::http::{Reply, Result, request};

/// Limit on the wait for the response to an announcement.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// State that a backend server announces.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnnouncedState {
    /// It accepts requests.
    Ready,
    /// It is about to stop and should get no new requests.
    Draining,
}

impl AnnouncedState {
    fn as_str(self) -> &'static str {
        match self {
            Self::Ready => "ready",
            Self::Draining => "draining",
        }
    }
}

impl Backend {
    /// Returns the body of an announcement with the next sequence number, without sending it. A test can
    /// send it late.
    pub fn next_announcement(&self, state: AnnouncedState) -> String {
        let sequence = self.shared.sequence.fetch_add(1, Ordering::AcqRel) + 1;
        let identity = &self.shared.identity;
        serde_json::json!({
            "service": identity.service,
            "address": self.shared.address.to_string(),
            "zone": identity.data_centre,
            "version": identity.software_version,
            "slots": self.shared.behaviour().slots,
            "state": state.as_str(),
            "coldRemaining": "0ms",
            "seq": sequence,
            "born": identity.started_ms,
        })
        .to_string()
    }

    /// Sends an announcement with the body `text` to a node and returns the node's response.
    pub async fn send_announcement(
        &self,
        announce_address: SocketAddr,
        text: String,
    ) -> Result<Reply> {
        let path = format!("/-/instances/{}", self.shared.identity.instance);
        let response = request(announce_address, Method::PUT, "node", &path, &[], text);
        with_timeout(response).await
    }

    /// Announces the backend server to a node; returns whether the node acknowledged it.
    pub async fn announce(&self, announce_address: SocketAddr, state: AnnouncedState) -> bool {
        let text = self.next_announcement(state);
        let reply = self.send_announcement(announce_address, text).await;
        reply.is_ok_and(|reply| reply.status.is_success())
    }

    /// Removes the backend server from a node; returns whether the node acknowledged it.
    pub async fn leave(&self, announce_address: SocketAddr) -> bool {
        let path = format!("/-/instances/{}", self.shared.identity.instance);
        let response = request(announce_address, Method::DELETE, "node", &path, &[], "");
        let reply = with_timeout(response).await;
        reply.is_ok_and(|reply| reply.status.is_success())
    }
}

async fn with_timeout(response: impl Future<Output = Result<Reply>>) -> Result<Reply> {
    let reply = tokio::time::timeout(ANSWER_TIMEOUT, response).await;
    reply.map_err(|_| "no response to the announcement within the timeout".to_owned())?
}
