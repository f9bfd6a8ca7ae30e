//! What a backend server says of itself to the node beside it.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

use ::http::Method;

use super::Backend;
use crate::http::{Reply, Result, request};

/// Longest wait for the answer to an announcement.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// What is announced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnnouncedState {
    /// It takes work.
    Ready,
    /// It is about to leave.
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
    /// The text of its next announcement, which nobody has to send at once.
    pub fn next_announcement(&self, state: AnnouncedState) -> String {
        let sequence = self.shared.sequence.fetch_add(1, Ordering::AcqRel) + 1;
        let identity = &self.shared.identity;
        serde_json::json!({
            "service": identity.service,
            "address": self.shared.address.to_string(),
            "zone": identity.data_centre,
            "version": "v1",
            "slots": self.shared.behaviour().slots,
            "state": state.as_str(),
            "coldRemaining": "0ms",
            "seq": sequence,
            "born": identity.started_ms,
        })
        .to_string()
    }

    /// Sends `text` as an announcement to the node at `control`.
    pub async fn send_announcement(
        &self,
        announce_address: SocketAddr,
        text: String,
    ) -> Result<Reply> {
        let path = format!("/-/instances/{}", self.shared.identity.instance);
        let response = request(announce_address, Method::PUT, "node", &path, &[], text);
        with_timeout(response).await
    }

    /// Announces itself; true once the node has acknowledged it.
    pub async fn announce(&self, announce_address: SocketAddr, state: AnnouncedState) -> bool {
        let text = self.next_announcement(state);
        let reply = self.send_announcement(announce_address, text).await;
        reply.is_ok_and(|reply| reply.status.is_success())
    }

    /// Says that it leaves; true once the node has acknowledged it.
    pub async fn leave(&self, announce_address: SocketAddr) -> bool {
        let path = format!("/-/instances/{}", self.shared.identity.instance);
        let response = request(announce_address, Method::DELETE, "node", &path, &[], "");
        let reply = with_timeout(response).await;
        reply.is_ok_and(|reply| reply.status.is_success())
    }
}

async fn with_timeout(response: impl Future<Output = Result<Reply>>) -> Result<Reply> {
    let reply = tokio::time::timeout(ANSWER_TIMEOUT, response).await;
    reply.map_err(|_| "no answer to the announcement".to_owned())?
}
