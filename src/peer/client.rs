//! Client of another node's control service.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use snafu::{ResultExt, Snafu};
use tonic::Status;
use tonic::metadata::{Ascii, MetadataValue};
use tonic::service::Interceptor;
use tonic::service::interceptor::InterceptedService;
use tonic::transport::{Channel, Endpoint};

use super::connector::Connector;
use super::convert;
use super::generated as wire;
use super::generated::control_client::ControlClient;
use crate::core::member::NodeId;
use crate::core::token::{MeshToken, TOKEN_HEADER};
use crate::core::version::{Stamp, Version};
use crate::distribution::Offer;
use crate::distribution::lead_choice::LeadState;
use crate::membership::Gossip;

/// Result of this module.
pub type Result<T, E = Error> = std::result::Result<T, E>;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Longest wait for one answer. Twenty times the latency between regions; a peer that takes longer
/// is frozen or cut off, and the next heartbeat tries again.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Content may be a snapshot over the throttled link between regions.
const CONTENT_TIMEOUT: Duration = Duration::from_millis(5_000);

/// What a peer told a follower.
#[derive(Debug)]
pub(crate) struct FollowAnswer {
    /// A newer version, if there was one in time.
    pub(crate) offer: Option<Offer>,
    /// How the peer stands to the store.
    pub(crate) state: LeadState,
}

/// Why a peer gave no usable answer.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The address cannot be dialled.
    #[snafu(display("`{address}` cannot be dialled"))]
    Address {
        /// The address.
        address: SocketAddr,
        /// From the transport.
        source: tonic::transport::Error,
    },
    /// It was not reached, was late, or refused.
    #[snafu(display("no answer from {address}"))]
    Call {
        /// The peer.
        address: SocketAddr,
        /// From the transport.
        #[snafu(source(from(tonic::Status, Box::new)))]
        source: Box<tonic::Status>,
    },
    /// The answer breaks the protocol.
    #[snafu(display("the answer from {address} breaks the protocol: {reason}"))]
    Answer {
        /// The peer.
        address: SocketAddr,
        /// In what way.
        reason: String,
    },
}

/// How peers are dialled.
#[derive(Clone, Debug, Default)]
pub struct DialOptions {
    /// Local address to connect from, if it matters.
    pub dial_from: Option<IpAddr>,
    /// What to show them.
    pub token: MeshToken,
}

/// Puts the mesh token on every call.
#[derive(Clone, Debug)]
struct TokenInterceptor {
    token: Option<MetadataValue<Ascii>>,
}

impl TokenInterceptor {
    fn new(token: &MeshToken) -> Self {
        let token = token.outgoing().and_then(|token| token.parse().ok());
        Self { token }
    }
}

impl Interceptor for TokenInterceptor {
    fn call(&mut self, mut request: tonic::Request<()>) -> Result<tonic::Request<()>, Status> {
        if let Some(token) = &self.token {
            request.metadata_mut().insert(TOKEN_HEADER, token.clone());
        }
        Ok(request)
    }
}

/// One peer. Cheap to clone; connects when first used and again after a loss.
#[derive(Clone, Debug)]
pub struct PeerClient {
    address: SocketAddr,
    client: ControlClient<InterceptedService<Channel, TokenInterceptor>>,
}

impl PeerClient {
    /// A client for the peer at `address`. Nothing is dialled yet.
    pub fn new(address: SocketAddr, options: &DialOptions) -> Result<Self> {
        let endpoint = Endpoint::from_shared(format!("http://{address}"))
            .context(AddressSnafu { address })?
            .connect_timeout(CONNECT_TIMEOUT);
        let connector = Connector {
            address,
            dial_from: options.dial_from,
            timeout: CONNECT_TIMEOUT,
        };
        Ok(Self {
            address,
            client: ControlClient::with_interceptor(
                endpoint.connect_with_connector_lazy(connector),
                TokenInterceptor::new(&options.token),
            ),
        })
    }

    /// One gossip exchange.
    pub async fn exchange(&mut self, gossip: &Gossip) -> Result<Gossip> {
        let request = with_timeout(convert::gossip_to_wire(gossip), ANSWER_TIMEOUT);
        let answer = self.client.exchange(request).await;
        let answer = answer.context(CallSnafu {
            address: self.address,
        })?;
        convert::gossip_from_wire(answer.get_ref()).map_err(|error| self.protocol_error(&error))
    }

    /// Asks for the content of a version above `have`.
    pub async fn fetch(&mut self, have: Version, want: Version) -> Result<Option<Offer>> {
        let request = wire::FetchRequest {
            have_version: have.0,
            want_version: want.0,
        };
        let answer = self
            .client
            .fetch(with_timeout(request, CONTENT_TIMEOUT))
            .await;
        let answer = answer.context(CallSnafu {
            address: self.address,
        })?;
        convert::offer_from_wire(answer.into_inner()).map_err(|error| self.protocol_error(&error))
    }

    /// Asks for the content of a version above `have` as soon as the peer holds one, and waits for
    /// it for `wait` at most; its answer may take `answer` beyond that.
    pub(crate) async fn follow(
        &mut self,
        have: Version,
        wait: Duration,
        answer_timeout: Duration,
    ) -> Result<FollowAnswer> {
        let request = wire::FollowRequest {
            have_version: have.0,
            wait_ms: u32::try_from(wait.as_millis()).unwrap_or(u32::MAX),
        };
        let answer = self
            .client
            .follow(with_timeout(request, wait + answer_timeout))
            .await;
        let answer = answer.context(CallSnafu {
            address: self.address,
        })?;
        let answer = answer.into_inner();
        let state = LeadState {
            store_age_ms: u64::from(answer.store_age_ms),
            store_failing: answer.blind,
        };
        let offer = match answer.newer {
            Some(newer) => {
                convert::offer_from_wire(newer).map_err(|error| self.protocol_error(&error))?
            }
            None => None,
        };
        Ok(FollowAnswer { offer, state })
    }

    /// Tells the peer that `head` has been accepted; answers what it enforces.
    pub async fn hint(&mut self, head: Stamp) -> Result<Stamp> {
        let request = wire::HintRequest {
            head: Some(convert::stamp_to_wire(head)),
        };
        let answer = self
            .client
            .hint(with_timeout(request, ANSWER_TIMEOUT))
            .await;
        let answer = answer.context(CallSnafu {
            address: self.address,
        })?;
        convert::stamp_from_wire(answer.get_ref().enforced.as_ref())
            .map_err(|error| self.protocol_error(&error))
    }

    /// Asks for the highest version that the peer knows `node` to have reported, and for what the
    /// peer itself enforces.
    pub async fn floor(&mut self, node: NodeId) -> Result<(Version, Stamp)> {
        let request = wire::FloorRequest {
            node: node.to_string(),
        };
        let answer = self
            .client
            .floor(with_timeout(request, ANSWER_TIMEOUT))
            .await;
        let answer = answer.context(CallSnafu {
            address: self.address,
        })?;
        let answer = answer.get_ref();
        let enforced = convert::stamp_from_wire(answer.enforced.as_ref());
        let enforced = enforced.map_err(|error| self.protocol_error(&error))?;
        Ok((Version(answer.reported_version), enforced))
    }

    fn protocol_error(&self, error: &convert::Error) -> Error {
        Error::Answer {
            address: self.address,
            reason: error.to_string(),
        }
    }
}

fn with_timeout<T>(message: T, timeout: Duration) -> tonic::Request<T> {
    let mut request = tonic::Request::new(message);
    request.set_timeout(timeout);
    request
}
