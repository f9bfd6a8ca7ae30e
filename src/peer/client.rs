//! Client of another node's control service.

use std::net::{IpAddr, SocketAddr};
use std::time::{Duration, Instant};

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
use crate::core::member::{NodeId, StartDigest};
use crate::core::rollout::RolloutBook;
use crate::core::token::{MeshToken, TOKEN_HEADER};
use crate::core::version::{Stamp, Version};
use crate::decide::crashes::CrashUpdate;
use crate::decide::freshness::PeerProof;
use crate::decide::quota::{Grants, ProcessId, UsageSums};
use crate::decide::rollout::NodeTally;
use crate::distribution::Offer;
use crate::distribution::lead_choice::LeadState;
use crate::membership::Gossip;
use crate::node::quota::UsageReport;
use crate::store::rows::NodeRow;
use crate::util::deadline::{self, Elapsed};

/// Result of a call to a peer.
pub type Result<T, E = Error> = std::result::Result<T, E>;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Timeout for one answer: twenty times the latency between regions. A peer that takes longer is
/// frozen or unreachable, and the next heartbeat tries again.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Timeout for content, which may be a snapshot sent over the rate-limited link between regions.
const CONTENT_TIMEOUT: Duration = Duration::from_millis(5_000);

/// A peer's answer to a follower.
#[derive(Debug)]
pub(crate) struct FollowAnswer {
    /// A newer version, if the peer had one before the wait was over.
    pub(crate) offer: Option<Offer>,
    /// How current the peer's data from the store is.
    pub(crate) state: LeadState,
    /// The peer's orders and states of roll-outs, if they differ from the caller's.
    pub(crate) rollouts: Option<RolloutBook>,
    /// When the peer last knew which version is the newest.
    pub(crate) proof: Option<PeerProof>,
}

/// A peer's answer to a floor query.
#[derive(Clone, Debug)]
pub struct FloorAnswer {
    /// Highest version that the peer has on record for the node, also from before a restart of it.
    pub reported: Version,
    /// Stamp that the peer itself enforces.
    pub enforced: Stamp,
    /// Whether the peer was frozen and has not refreshed its configuration yet, so that it may be
    /// behind.
    pub refreshing: bool,
    /// The peer's orders and states of roll-outs.
    pub rollouts: RolloutBook,
}

/// Why a call to a peer failed.
#[derive(Debug, Snafu)]
pub enum Error {
    /// No endpoint can be created for the address.
    #[snafu(display("cannot create a connection to `{address}`"))]
    Address {
        /// The invalid address.
        address: SocketAddr,
        /// Error of the transport.
        source: tonic::transport::Error,
    },
    /// The peer was unreachable, did not answer in time, or answered with an error status.
    #[snafu(display("no answer from {address}"))]
    Call {
        /// Address of the peer.
        address: SocketAddr,
        /// Status of the call.
        #[snafu(source(from(tonic::Status, Box::new)))]
        source: Box<tonic::Status>,
    },
    /// The answer violates the protocol.
    #[snafu(display("the answer from {address} violates the protocol: {reason}"))]
    Answer {
        /// Address of the peer.
        address: SocketAddr,
        /// Which rule it violates.
        reason: String,
    },
}

/// Options for connections to peers.
#[derive(Clone, Debug, Default)]
pub struct DialOptions {
    /// Local address to connect from; chosen by the system if `None`.
    pub dial_from: Option<IpAddr>,
    /// Token that authenticates this node to its peers.
    pub token: MeshToken,
}

/// Adds the mesh token to the metadata of every call.
#[derive(Clone, Debug)]
struct TokenInterceptor {
    token: Option<MetadataValue<Ascii>>,
}

impl TokenInterceptor {
    fn new(token: &MeshToken) -> Self {
        let token = token.secret_to_send().and_then(|token| token.parse().ok());
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

/// Client for one peer. Cheap to clone. It connects when it is first used, and reconnects after the
/// connection is lost.
#[derive(Clone, Debug)]
pub struct PeerClient {
    address: SocketAddr,
    client: ControlClient<InterceptedService<Channel, TokenInterceptor>>,
}

impl PeerClient {
    /// Creates a client for the peer at `address`, without connecting yet.
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

    /// Sends a gossip message and returns the answer.
    pub async fn exchange(&mut self, gossip: &Gossip) -> Result<Gossip> {
        let request = with_timeout(convert::gossip_to_wire(gossip), ANSWER_TIMEOUT);
        let answer = self.client.exchange(request);
        let answer = whole_answer(self.address, ANSWER_TIMEOUT, answer).await?;
        convert::gossip_from_wire(answer.get_ref()).map_err(|error| self.protocol_error(&error))
    }

    /// Requests the content of a version newer than `have`. Returns `None` if the peer has none.
    pub async fn fetch(&mut self, have: Version, want: Version) -> Result<Option<Offer>> {
        let request = wire::FetchRequest {
            have_version: have.0,
            want_version: want.0,
        };
        let timeout = CONTENT_TIMEOUT;
        let answer = self.client.fetch(with_timeout(request, timeout));
        let answer = whole_answer(self.address, timeout, answer).await?;
        convert::offer_from_wire(answer.into_inner()).map_err(|error| self.protocol_error(&error))
    }

    /// Requests the content of a version newer than `have`, for which the peer may wait up to
    /// `wait`, and its roll-outs if their digest differs from `rollouts_digest`. Its answer may take
    /// `answer_timeout` in addition.
    pub(crate) async fn follow(
        &mut self,
        have: Version,
        rollouts_digest: u64,
        wait: Duration,
        answer_timeout: Duration,
    ) -> Result<FollowAnswer> {
        let request = wire::FollowRequest {
            have_version: have.0,
            wait_ms: u32::try_from(wait.as_millis()).unwrap_or(u32::MAX),
            rollouts_digest,
        };
        let timeout = wait + answer_timeout;
        let answer = self.client.follow(with_timeout(request, timeout));
        let answer = whole_answer(self.address, timeout, answer).await?;
        let answer = answer.into_inner();
        let state = LeadState {
            store_age_ms: u64::from(answer.store_age_ms),
            store_failing: answer.blind,
        };
        let proof = answer.known_newest_version.map(|version| PeerProof {
            version: Version(version),
            age_ms: u64::from(answer.known_newest_age_ms),
            waited_ms: u64::from(answer.waited_ms),
        });
        let offer = match answer.newer {
            Some(newer) => {
                convert::offer_from_wire(newer).map_err(|error| self.protocol_error(&error))?
            }
            None => None,
        };
        let rollouts = answer.rollouts.as_ref();
        Ok(FollowAnswer {
            offer,
            state,
            proof,
            rollouts: rollouts.map(convert::rollouts::book_from_wire),
        })
    }

    /// Informs the peer that `head` was accepted. Returns the stamp that the peer enforces.
    pub async fn hint(&mut self, head: Stamp) -> Result<Stamp> {
        let request = wire::HintRequest {
            head: Some(convert::stamp_to_wire(head)),
        };
        let timeout = ANSWER_TIMEOUT;
        let answer = self.client.hint(with_timeout(request, timeout));
        let answer = whole_answer(self.address, timeout, answer).await?;
        convert::stamp_from_wire(answer.get_ref().enforced.as_ref())
            .map_err(|error| self.protocol_error(&error))
    }

    /// Requests the highest version that the peer has on record for `node`, and the stamp that the
    /// peer itself enforces.
    pub async fn floor(&mut self, node: NodeId) -> Result<FloorAnswer> {
        let request = wire::FloorRequest {
            node: node.to_string(),
        };
        let timeout = ANSWER_TIMEOUT;
        let answer = self.client.floor(with_timeout(request, timeout));
        let answer = whole_answer(self.address, timeout, answer).await?;
        let answer = answer.get_ref();
        let enforced = convert::stamp_from_wire(answer.enforced.as_ref());
        let enforced = enforced.map_err(|error| self.protocol_error(&error))?;
        let rollouts = answer.rollouts.as_ref();
        let rollouts = rollouts.map(convert::rollouts::book_from_wire);
        Ok(FloorAnswer {
            reported: Version(answer.reported_version),
            enforced,
            refreshing: answer.refreshing,
            rollouts: rollouts.unwrap_or_default(),
        })
    }

    /// Reports what gates have counted during a roll-out. With `forwarded` the peer does not pass the
    /// counts on.
    pub(crate) async fn tally(&mut self, tallies: &[NodeTally], forwarded: bool) -> Result<()> {
        let tallies = tallies.iter().map(convert::rollouts::tally_to_wire);
        let request = wire::TallyRequest {
            tallies: tallies.collect(),
            forwarded,
        };
        let answer = self.client.tally(with_timeout(request, ANSWER_TIMEOUT));
        let answer = whole_answer(self.address, ANSWER_TIMEOUT, answer).await;
        answer.map(drop)
    }

    /// Reports the requests of organisations at this node. Returns how many more it may admit.
    pub(crate) async fn report_usage(
        &mut self,
        report: &UsageReport,
        answer_timeout: Duration,
    ) -> Result<Grants> {
        let request = with_timeout(convert::usage::report_to_wire(report), answer_timeout);
        let answer = self.client.report_usage(request);
        let answer = whole_answer(self.address, answer_timeout, answer).await?;
        convert::usage::grants_from_wire(answer.get_ref())
            .map_err(|error| self.protocol_error(&error))
    }

    /// Sends the sums of the reports that the process `from` has received. Returns the process of the peer and its sums.
    pub(crate) async fn share_usage(
        &mut self,
        from: ProcessId,
        sums: &UsageSums,
    ) -> Result<(ProcessId, UsageSums)> {
        let request = with_timeout(convert::usage::sums_to_wire(from, sums), ANSWER_TIMEOUT);
        let answer = self.client.share_usage(request);
        let answer = whole_answer(self.address, ANSWER_TIMEOUT, answer).await?;
        convert::usage::sums_from_wire(answer.get_ref())
            .map_err(|error| self.protocol_error(&error))
    }

    /// Reports requests under which backend servers have ended. The peer passes the report on to `further`, and returns
    /// those of them to which nobody has sent it.
    pub(crate) async fn report_crashes(
        &mut self,
        updates: &[CrashUpdate],
        further: &[NodeId],
        answer_timeout: Duration,
    ) -> Result<Vec<NodeId>> {
        let report = convert::crashes::report_to_wire(updates, further);
        let timeout = answer_timeout;
        let answer = self.client.report_crashes(with_timeout(report, timeout));
        let answer = whole_answer(self.address, timeout, answer).await?;
        Ok(convert::crashes::nodes_from_wire(
            &answer.get_ref().left_out,
        ))
    }

    /// Returns whether the peer's backend server, of this start, has announced itself within a time so that it cannot have
    /// ended before.
    pub(crate) async fn check_backend(
        &mut self,
        start: StartDigest,
        within: Duration,
    ) -> Result<bool> {
        let request = wire::BackendCheck {
            start: convert::start_to_wire(Some(start)),
            within_ms: u32::try_from(within.as_millis()).unwrap_or(u32::MAX),
        };
        let answer = self
            .client
            .check_backend(with_timeout(request, ANSWER_TIMEOUT));
        let answer = whole_answer(self.address, ANSWER_TIMEOUT, answer).await?;
        Ok(answer.get_ref().has_announced)
    }

    /// Has the peer write `row` into the store, which takes up to `answer_timeout`.
    pub(crate) async fn write_row(
        &mut self,
        row: &NodeRow,
        answer_timeout: Duration,
    ) -> Result<()> {
        let row = serde_json::to_string(row).expect("the row can be encoded as JSON");
        let request = with_timeout(wire::WriteRowRequest { row }, answer_timeout);
        let answer = self.client.write_row(request);
        let answer = whole_answer(self.address, answer_timeout, answer).await;
        answer.map(drop)
    }

    fn protocol_error(&self, error: &convert::Error) -> Error {
        Error::Answer {
            address: self.address,
            reason: error.to_string(),
        }
    }
}

/// Awaits a whole answer. The timeout of a request covers the start of its answer, and the rest may never come.
async fn whole_answer<T>(
    address: SocketAddr,
    timeout: Duration,
    answer: impl Future<Output = Result<tonic::Response<T>, Status>>,
) -> Result<tonic::Response<T>> {
    let answer = deadline::timeout_at(Instant::now() + timeout, answer).await;
    let answer = answer.unwrap_or_else(|Elapsed| {
        let message = "the answer did not arrive in time";
        Err(Status::deadline_exceeded(message))
    });
    answer.context(CallSnafu { address })
}

fn with_timeout<T>(message: T, timeout: Duration) -> tonic::Request<T> {
    let mut request = tonic::Request::new(message);
    request.set_timeout(timeout);
    request
}
