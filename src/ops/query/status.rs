//! Asks a node what it knows of the mesh.

use hyper::Method;

use crate::core::status::{DataCentreSummary, Status};
use crate::ops::operator_client::{OperatorEndpoint, request_json};

pub use crate::ops::operator_client::{Error, Result};

/// A line of the report by data centre.
pub type DataCentreRow = DataCentreSummary;

/// Asks a node.
pub async fn fetch(node: &OperatorEndpoint) -> Result<Status> {
    request_json(node, Method::GET, "/status").await
}

/// What the nodes of each data centre enforce, as far as the asked node knows.
pub fn by_data_centre(status: &Status) -> Vec<DataCentreRow> {
    status.data_centres.clone()
}
