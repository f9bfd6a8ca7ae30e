//! Reads the use of quotas from one node.

use hyper::Method;

use crate::core::status::OrganisationsStatus;
use crate::ops::operator_client::{OperatorEndpoint, request_json};

pub use crate::ops::operator_client::{Error, Result};

/// Requests the organisations from `node`.
pub async fn fetch(node: &OperatorEndpoint) -> Result<OrganisationsStatus> {
    request_json(node, Method::GET, "/organisations").await
}
