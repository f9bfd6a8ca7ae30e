//! Reads the status of the mesh from one node.

use hyper::Method;

use crate::core::status::{DataCentreSummary, Status};
use crate::ops::operator_client::{OperatorEndpoint, request_json};

pub use crate::ops::operator_client::{Error, Result};

/// One row of the report by data centre.
pub type DataCentreRow = DataCentreSummary;

/// Requests the status from `node`.
pub async fn fetch(node: &OperatorEndpoint) -> Result<Status> {
    request_json(node, Method::GET, "/status").await
}

/// The versions that the nodes of each data centre enforce, according to the node that answered.
pub fn by_data_centre(status: &Status) -> Vec<DataCentreRow> {
    status.data_centres.clone()
}
