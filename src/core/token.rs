//! The mesh token: a shared secret that authenticates nodes and operators to each other.
//!
//! Every request between nodes and to an operator listener carries it in the header
//! [`TOKEN_HEADER`]. During a rotation two secrets may be set: the first one is sent, and both are
//! accepted.

use std::fmt;
use std::str::FromStr;

use snafu::{Snafu, ensure};

/// Result of this module.
pub type Result<T, E = InvalidToken> = std::result::Result<T, E>;

/// Request header that carries the token.
pub const TOKEN_HEADER: &str = "x-dragonflywall-token";

/// Environment variable from which nodes and commands read the token.
pub const TOKEN_VARIABLE: &str = "DRAGONFLYWALL_MESH_TOKEN";

/// Minimum length of a secret in bytes. 16 random letters cannot be guessed over a network.
const SECRET_MIN_BYTES: usize = 16;
/// Maximum number of secrets: the current one, and during a rotation the one that it replaces.
const SECRETS_MAX: usize = 2;

/// Error for text that is not a valid mesh token.
#[derive(Debug, PartialEq, Eq, Snafu)]
#[snafu(display(
    "expected one secret of at least {SECRET_MIN_BYTES} letters, digits, dashes or underscores, \
     or two such secrets separated by a comma"
))]
pub struct InvalidToken;

/// One or two secrets. Without any secret every request is accepted, which is allowed only for a
/// listener on a loopback address.
#[derive(Clone, Default, PartialEq, Eq)]
pub struct MeshToken {
    secrets: Vec<String>,
}

impl MeshToken {
    /// Whether no secret is set, so that requests are not authenticated.
    pub fn is_empty(&self) -> bool {
        self.secrets.is_empty()
    }

    /// The secret to send with a request, if one is set.
    pub fn secret_to_send(&self) -> Option<&str> {
        self.secrets.first().map(String::as_str)
    }

    /// Whether a request that presented this secret, or none, is authenticated.
    pub fn accepts(&self, presented: Option<&[u8]>) -> bool {
        if self.secrets.is_empty() {
            return true;
        }
        // BLAKE3 digests are compared in constant time, so the response time reveals nothing about
        // a secret.
        let presented = blake3::hash(presented.unwrap_or_default());
        let matches = |secret: &String| blake3::hash(secret.as_bytes()) == presented;
        self.secrets.iter().any(matches)
    }
}

impl FromStr for MeshToken {
    type Err = InvalidToken;

    fn from_str(text: &str) -> Result<Self> {
        let secrets: Vec<String> = text.split(',').map(str::to_owned).collect();
        ensure!(secrets.len() <= SECRETS_MAX, InvalidTokenSnafu);
        ensure!(
            secrets.iter().all(|s| is_valid_secret(s)),
            InvalidTokenSnafu
        );
        Ok(Self { secrets })
    }
}

fn is_valid_secret(text: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
    text.len() >= SECRET_MIN_BYTES && text.chars().all(allowed)
}

/// Prints only the number of secrets, because settings are written to the log.
impl fmt::Debug for MeshToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "MeshToken({} secrets)", self.secrets.len())
    }
}
