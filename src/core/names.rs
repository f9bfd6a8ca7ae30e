//! Types for the names that operators choose, and the syntax that all of them share.
//!
//! Copies of a name share its text: each node holds the places and services of all members several times.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Maximum length of a name in bytes. Names are used as host name labels, which DNS limits to 63.
pub const NAME_MAX_BYTES: usize = 63;

/// Whether `text` is a valid name: lower-case letters, digits and dashes, starting with a letter.
pub fn is_name(text: &str) -> bool {
    let starts_with_letter = text.starts_with(|c: char| c.is_ascii_lowercase());
    let all_allowed = text
        .chars()
        .all(|c| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-');
    starts_with_letter && all_allowed && text.len() <= NAME_MAX_BYTES
}

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Wraps `text` without validating it. Code that reads user input checks it with
            /// [`is_name`] first.
            pub fn new(text: impl Into<String>) -> Self {
                Self(Arc::from(text.into()))
            }

            /// The name as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl std::borrow::Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }
    };
}

name_type! {
    /// Name of a team. A team is the unit of publication: it has one team file and one record.
    TeamName
}
name_type! {
    /// Name of a service that a team offers. Callers use it as the authority of a request.
    ServiceName
}
name_type! {
    /// Name of a resource: a group of a service's requests that share one treatment.
    ResourceName
}
name_type! {
    /// Host name of a route, for callers that do not use the name of a service as authority.
    HostName
}
name_type! {
    /// Name of an organisation whose callers send requests.
    OrganisationName
}
name_type! {
    /// Name that a backend server chooses for itself, usually a new one each time it starts.
    InstanceName
}
name_type! {
    /// Version of the software that a backend server runs, as it announces it.
    SoftwareVersion
}
name_type! {
    /// Name of a data centre. The latency between its VMs is about 1 ms.
    DataCentreName
}
name_type! {
    /// Name of a region: data centres connected by fast links. The link between regions is slow, and
    /// its traffic is billed.
    RegionName
}
