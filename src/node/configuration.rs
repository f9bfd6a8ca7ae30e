//! The actor that owns the configuration holder and fetches what it wants.

use std::sync::Arc;
use std::time::Duration;

use ractor::{Actor, ActorProcessingErr, ActorRef, RpcReplyPort};

use crate::core::member::NodeId;
use crate::core::version::{Stamp, Version};
use crate::distribution::{Content, Holder};
use crate::node::membership::MembershipMsg;
use crate::node::state::NodeState;
use crate::ops::query::accepted;
use crate::peer::client::PeerClient;
use crate::platform::http::HttpPlatform;

/// How often the head is read as the backstop of hints and gossip.
const HEAD_POLL: Duration = Duration::from_secs(2);

#[derive(Debug)]
pub(crate) enum ConfigurationMsg {
    /// Somebody has, or knows of, this version.
    Announced {
        stamp: Stamp,
        from: Option<NodeId>,
    },
    /// A fetch ended.
    Fetched {
        stamp: Stamp,
        content: Option<Content>,
    },
    ContentFor(Version, RpcReplyPort<Option<(Stamp, Content)>>),
    Enforced(RpcReplyPort<Stamp>),
    PollHead,
    /// The membership actor is there; it is told of every version enforced.
    Membership(ActorRef<MembershipMsg>),
}

pub(crate) struct ConfigurationActor;

pub(crate) struct State {
    node: Arc<NodeState>,
    platform: HttpPlatform,
    holder: Holder,
    fetching: bool,
    membership: Option<ActorRef<MembershipMsg>>,
}

impl Actor for ConfigurationActor {
    type Msg = ConfigurationMsg;
    type State = State;
    type Arguments = (Arc<NodeState>, HttpPlatform);

    async fn pre_start(
        &self,
        myself: ActorRef<Self::Msg>,
        (node, platform): Self::Arguments,
    ) -> Result<State, ActorProcessingErr> {
        myself.cast(ConfigurationMsg::PollHead)?;
        myself.send_interval(HEAD_POLL, || ConfigurationMsg::PollHead);
        Ok(State {
            node,
            platform,
            holder: Holder::default(),
            fetching: false,
            membership: None,
        })
    }

    async fn handle(
        &self,
        myself: ActorRef<Self::Msg>,
        message: Self::Msg,
        state: &mut State,
    ) -> Result<(), ActorProcessingErr> {
        match message {
            ConfigurationMsg::Announced { stamp, from } => {
                state.holder.announce(stamp);
                state.fetch_if_wanted(&myself, from);
            }
            ConfigurationMsg::Fetched { stamp, content } => {
                state.fetching = false;
                if let Some(content) = content {
                    state.apply(stamp, &content);
                }
                state.fetch_if_wanted(&myself, None);
            }
            ConfigurationMsg::ContentFor(have, reply) => {
                let _ = reply.send(state.holder.content_for(have));
            }
            ConfigurationMsg::Enforced(reply) => {
                let _ = reply.send(state.holder.stamp());
            }
            ConfigurationMsg::PollHead => state.poll_head(&myself),
            ConfigurationMsg::Membership(membership) => state.membership = Some(membership),
        }
        Ok(())
    }
}

impl State {
    fn poll_head(&self, myself: &ActorRef<ConfigurationMsg>) {
        let platform = self.platform.clone();
        let myself = myself.clone();
        tokio::spawn(async move {
            match accepted::head(&platform).await {
                Ok(head) => {
                    let announced = ConfigurationMsg::Announced {
                        stamp: head.stamp,
                        from: None,
                    };
                    let _ = myself.cast(announced);
                }
                Err(error) => log::debug!(error:%; "reading the head failed"),
            }
        });
    }

    fn fetch_if_wanted(&mut self, myself: &ActorRef<ConfigurationMsg>, from: Option<NodeId>) {
        let Some(want) = self.holder.wanted() else {
            return;
        };
        if self.fetching {
            return;
        }
        self.fetching = true;
        let have = self.holder.stamp();
        let address = from.and_then(|node| {
            let view = self.node.view.load();
            let member = view.members.iter().find(|member| member.node == node)?;
            Some(member.dial_address(&self.node.settings.place))
        });
        let options = self.node.settings.dial_options();
        let platform = self.platform.clone();
        let myself = myself.clone();
        tokio::spawn(async move {
            let mut found = None;
            if let Some(address) = address
                && let Ok(mut client) = PeerClient::new(address, &options)
            {
                found = client.fetch(have, want.version).await.ok().flatten();
            }
            if found.is_none() {
                found = from_platform(&platform, have, want).await;
            }
            let (stamp, content) = match found {
                Some((stamp, content)) => (stamp, Some(content)),
                None => (want, None),
            };
            let _ = myself.cast(ConfigurationMsg::Fetched { stamp, content });
        });
    }

    fn apply(&mut self, stamp: Stamp, content: &Content) {
        let applied = match self.holder.apply(stamp, content) {
            Ok(applied) => applied,
            Err(error) => {
                log::warn!(version = stamp.version.0, error:?; "refused a configuration");
                return;
            }
        };
        log::info!(version = stamp.version.0, digest:% = stamp.digest.short(); "enforced a configuration");
        metrics::gauge!("dragonflywall_enforced_version").set(stamp.version.0 as f64);
        self.node.enforced.store(Some(applied));
        self.node.refresh_slots();
        if let Some(membership) = &self.membership {
            let _ = membership.cast(MembershipMsg::SetEnforced(stamp));
        }
    }
}

async fn from_platform(
    platform: &HttpPlatform,
    have: Stamp,
    want: Stamp,
) -> Option<(Stamp, Content)> {
    let row = accepted::version_row(platform, want.version).await.ok()?;
    let delta_fits = row.parent == have && have.version != Version::NONE;
    let digest = if delta_fits {
        row.delta_object
    } else {
        row.snapshot_object
    };
    let bytes = accepted::object(platform, &digest).await.ok()?;
    let content = if delta_fits {
        Content::Delta(bytes)
    } else {
        Content::Snapshot(bytes)
    };
    Some((row.stamp, content))
}
