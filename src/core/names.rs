//! Names that operators choose, and the one rule for what a name may be.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Longest name in bytes; a name is used as a host label, which ends at 63.
pub const NAME_MAX_BYTES: usize = 63;

/// Whether `text` is a name: lower-case letters, digits and dashes, a letter first.
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
        pub struct $name(String);

        impl $name {
            /// Takes `text` as it is; callers that read user input check [`is_name`] first.
            pub fn new(text: impl Into<String>) -> Self {
                Self(text.into())
            }

            /// The name as text.
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
    /// A team: the unit of publication, one file and one record each.
    TeamName
}
name_type! {
    /// A service that a team offers; callers name it as the authority of a request.
    ServiceName
}
name_type! {
    /// A resource of a service: what one treatment applies to.
    ResourceName
}
name_type! {
    /// A host name by which callers reach routes, apart from the names of services.
    HostName
}
name_type! {
    /// What a backend server calls itself; a start of it mostly gets a new one.
    InstanceName
}
name_type! {
    /// A data centre; VMs inside it reach each other in about 1 ms.
    DataCentreName
}
name_type! {
    /// A region: data centres joined by fast links; the link between regions is slow and billed.
    RegionName
}
