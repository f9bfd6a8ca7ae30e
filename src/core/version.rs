//! Versions of the configuration and digests of its content.

use std::fmt;

use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Number of an accepted configuration, counted from 1. Version 0 means that none has been
/// accepted yet.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Version(pub u64);

impl Version {
    /// The value before any configuration has been accepted.
    pub const NONE: Self = Self(0);

    /// The version that the next publication creates.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// BLAKE3 digest of some content, serialized as 64 hexadecimal digits.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Digest([u8; 32]);

/// Error for text or bytes that do not have the form of a digest.
#[derive(Debug, Snafu)]
#[snafu(display("not a digest: expected 64 hexadecimal digits"))]
pub struct InvalidDigest;

impl Digest {
    /// Placeholder of 32 zero bytes that accompanies [`Version::NONE`].
    pub const NONE: Self = Self([0; 32]);

    /// Computes the digest of `bytes`.
    pub fn compute(bytes: &[u8]) -> Self {
        Self(*blake3::hash(bytes).as_bytes())
    }

    /// The 32 raw bytes, which is the form sent between nodes.
    pub fn as_bytes(&self) -> &[u8; 32] {
        &self.0
    }

    /// The first eight hexadecimal digits, for logs and messages.
    pub fn short(&self) -> String {
        self.to_string()[..8].to_owned()
    }
}

impl TryFrom<&[u8]> for Digest {
    type Error = InvalidDigest;

    fn try_from(bytes: &[u8]) -> Result<Self, InvalidDigest> {
        bytes.try_into().map(Self).map_err(|_| InvalidDigest)
    }
}

impl TryFrom<String> for Digest {
    type Error = InvalidDigest;

    fn try_from(text: String) -> Result<Self, InvalidDigest> {
        let hash = blake3::Hash::from_hex(text).map_err(|_| InvalidDigest)?;
        Ok(Self(*hash.as_bytes()))
    }
}

impl From<Digest> for String {
    fn from(digest: Digest) -> Self {
        digest.to_string()
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&blake3::Hash::from_bytes(self.0).to_hex())
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Digest({})", self.short())
    }
}

/// A version number with the digest of its content. Nodes exchange it to compare versions without
/// sending the content.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Stamp {
    /// The version number.
    pub version: Version,
    /// Digest of the canonical encoding of that version's whole configuration.
    pub digest: Digest,
}

impl Stamp {
    /// The stamp before any configuration has been accepted.
    pub const NONE: Self = Self {
        version: Version::NONE,
        digest: Digest::NONE,
    };
}

impl fmt::Display for Stamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({})", self.version, self.digest.short())
    }
}
