//! Identity of a request beside its id: what a caller sends again when it repeats the request.

use std::fmt;

/// The parts of a request that precede its body.
#[derive(Clone, Copy, Debug)]
pub struct RequestHead<'a> {
    /// Name of the organisation whose key the caller sent. Requests of two organisations are never the same.
    pub organisation: Option<&'a str>,
    /// HTTP method.
    pub method: &'a str,
    /// Requested host, without a port; compared without regard to case.
    pub host: &'a str,
    /// Path and query.
    pub path_and_query: &'a str,
}

/// Digest of a [`RequestHead`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HeadDigest(pub u128);

impl HeadDigest {
    /// Computes the digest.
    pub fn of(head: RequestHead<'_>) -> Self {
        let host = head.host.to_ascii_lowercase();
        let mut hasher = blake3::Hasher::new();
        hasher.update(&[u8::from(head.organisation.is_some())]);
        let organisation = head.organisation.unwrap_or("");
        for part in [organisation, head.method, &host, head.path_and_query] {
            hasher.update(&(part.len() as u64).to_be_bytes());
            hasher.update(part.as_bytes());
        }
        Self(truncate(hasher.finalize()))
    }
}

/// Digest of a request's body, or of what is known of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BodyDigest(pub u128);

impl BodyDigest {
    /// Digest of a request without a body.
    pub const EMPTY: Self = Self(0);

    /// Digest of a body that is known as a whole.
    pub fn of_chunks<'a>(chunks: impl IntoIterator<Item = &'a [u8]>) -> Self {
        let mut hasher = blake3::Hasher::new();
        for chunk in chunks {
            hasher.update(chunk);
        }
        Self(truncate(hasher.finalize()))
    }

    /// Digest of a body of which only the declared length is known, or not even that.
    pub fn of_length(declared_bytes: Option<u64>) -> Self {
        let mut hasher = blake3::Hasher::new_derive_key("dragonflywall body of declared length");
        hasher.update(&declared_bytes.map_or([0xff; 8], u64::to_be_bytes));
        Self(truncate(hasher.finalize()))
    }
}

/// Digest of a whole request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestDigest {
    /// Digest of everything before the body.
    pub head: HeadDigest,
    /// Digest of the body.
    pub body: BodyDigest,
}

impl RequestDigest {
    /// The digest of a request with the same head and another body.
    pub fn with_body(self, body: BodyDigest) -> Self {
        Self { body, ..self }
    }
}

impl fmt::Display for RequestDigest {
    /// Writes 16 hexadecimal digits: enough to tell the requests of a log apart.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let digits = (self.head.0 ^ self.body.0.rotate_left(1)) >> 64;
        write!(f, "{digits:016x}")
    }
}

fn truncate(hash: blake3::Hash) -> u128 {
    let bytes = hash.as_bytes().first_chunk();
    u128::from_be_bytes(*bytes.expect("a digest has 32 bytes"))
}
