//! Finds the end of a response body.

use httparse::Header;

/// How the end of a body is determined, and what is left of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Framing {
    /// The number of bytes that follow.
    Length(u64),
    /// In chunks.
    Chunked(ChunkPosition),
    /// The body ends with the connection.
    UntilClose,
}

/// Position in a body that is sent in chunks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ChunkPosition {
    /// In the line with the size of a chunk. `in_extension` is set behind the digits.
    Size { size: u64, in_extension: bool },
    /// In a chunk of which this many bytes follow.
    Data(u64),
    /// In the line break behind a chunk.
    DataEnd,
    /// In the trailer, which ends with an empty line.
    Trailer { line_bytes: u64 },
    /// Behind the end of the body.
    Ended,
}

const FIRST_CHUNK: ChunkPosition = ChunkPosition::Size {
    size: 0,
    in_extension: false,
};

impl Framing {
    /// Reads the framing from the headers of a response to a request that is not HEAD. `None` if the
    /// length is not a number.
    pub(super) fn from_headers(headers: &[Header<'_>]) -> Option<Self> {
        let find = |name: &str| {
            let mut fields = headers.iter();
            fields.find(|field| field.name.eq_ignore_ascii_case(name))
        };
        if let Some(encoding) = find("transfer-encoding") {
            let last = encoding.value.rsplit(|byte| *byte == b',').next();
            let chunked =
                last.is_some_and(|last| last.trim_ascii().eq_ignore_ascii_case(b"chunked"));
            return Some(match chunked {
                true => Self::Chunked(FIRST_CHUNK),
                false => Self::UntilClose,
            });
        }
        let Some(length) = find("content-length") else {
            return Some(Self::UntilClose);
        };
        let length = std::str::from_utf8(length.value).ok()?;
        length.trim().parse().ok().map(Self::Length)
    }

    /// Whether the whole body has been read.
    pub(super) fn has_ended(&self) -> bool {
        matches!(self, Self::Length(0) | Self::Chunked(ChunkPosition::Ended))
    }

    /// Reads the part of `input` that belongs to the body, and returns its length in bytes.
    pub(super) fn advance(&mut self, input: &[u8]) -> usize {
        match self {
            Self::Length(remaining_bytes) => take(remaining_bytes, input),
            Self::Chunked(position) => position.advance(input),
            Self::UntilClose => input.len(),
        }
    }
}

/// Subtracts from `remaining_bytes` what `input` has of them, and returns that number.
fn take(remaining_bytes: &mut u64, input: &[u8]) -> usize {
    let remaining = usize::try_from(*remaining_bytes).unwrap_or(usize::MAX);
    let taken = remaining.min(input.len());
    *remaining_bytes -= taken as u64;
    taken
}

impl ChunkPosition {
    fn advance(&mut self, input: &[u8]) -> usize {
        let mut read = 0;
        while read < input.len() && *self != Self::Ended {
            if let Self::Data(remaining_bytes) = self {
                read += take(remaining_bytes, &input[read..]);
                if *remaining_bytes == 0 {
                    *self = Self::DataEnd;
                }
            } else {
                *self = self.after_byte(input[read]);
                read += 1;
            }
        }
        read
    }

    /// The position behind one byte that is not part of a chunk.
    fn after_byte(self, byte: u8) -> Self {
        match (self, byte) {
            (Self::Size { size: 0, .. }, b'\n') => Self::Trailer { line_bytes: 0 },
            (Self::Size { size, .. }, b'\n') => Self::Data(size),
            (
                Self::Size {
                    size,
                    in_extension: false,
                },
                _,
            ) => match char::from(byte).to_digit(16) {
                Some(digit) => Self::Size {
                    size: size.saturating_mul(16).saturating_add(u64::from(digit)),
                    in_extension: false,
                },
                None => Self::Size {
                    size,
                    in_extension: true,
                },
            },
            (Self::DataEnd, b'\n') => FIRST_CHUNK,
            (Self::Trailer { line_bytes: 0 }, b'\n') => Self::Ended,
            (Self::Trailer { .. }, b'\n') => Self::Trailer { line_bytes: 0 },
            (Self::Trailer { line_bytes }, byte) if byte != b'\r' => Self::Trailer {
                line_bytes: line_bytes + 1,
            },
            (position, _) => position,
        }
    }
}
