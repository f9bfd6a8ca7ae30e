//! The mesh token: the secret by which nodes and operators know each other.
//!
//! It travels in the header [`TOKEN_HEADER`] of every request between nodes and to an operator
//! listener. Two may be set while one replaces the other: the first is sent, either is accepted.

use std::fmt;
use std::str::FromStr;

use snafu::{Snafu, ensure};

/// Result of this module.
pub type Result<T, E = InvalidToken> = std::result::Result<T, E>;

/// Request header that carries the token.
pub const TOKEN_HEADER: &str = "x-dragonflywall-token";

/// Environment variable that nodes and commands read it from.
pub const TOKEN_VARIABLE: &str = "DRAGONFLYWALL_MESH_TOKEN";

/// Shortest secret; 16 random letters are beyond guessing over a network.
const SECRET_MIN_BYTES: usize = 16;
/// The one in use, and the one that it replaces.
const SECRETS_MAX: usize = 2;

/// A text that is not a mesh token.
#[derive(Debug, PartialEq, Eq, Snafu)]
#[snafu(display(
    "expected one secret of at least {SECRET_MIN_BYTES} letters, digits, dashes or underscores, \
     or two with a comma between them"
))]
pub struct InvalidToken;

/// One or two secrets; none at all accepts everybody, which only a loopback listener may.
#[derive(Clone, Default, PartialEq, Eq)]
pub struct MeshToken {
    secrets: Vec<String>,
}

impl MeshToken {
    /// Whether no secret is set.
    pub fn is_empty(&self) -> bool {
        self.secrets.is_empty()
    }

    /// What to send, if anything.
    pub fn outgoing(&self) -> Option<&str> {
        self.secrets.first().map(String::as_str)
    }

    /// Whether a request that brought `presented` may speak.
    pub fn accepts(&self, presented: Option<&[u8]>) -> bool {
        if self.secrets.is_empty() {
            return true;
        }
        // Digests are compared in constant time, so the answer's time tells nothing of a secret.
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

/// Never shows a secret: settings are logged.
impl fmt::Debug for MeshToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "MeshToken({} secrets)", self.secrets.len())
    }
}
