//! Decides how the body of a response is framed, and finds its end.

use httparse::Header;

use super::invalid::{ChunkSnafu, ContentLengthSnafu, Result, TransferEncodingSnafu};

/// Longest body that hyper accepts.
const LENGTH_MAX_BYTES: u64 = u64::MAX - 2;

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

/// Position in a body that is sent in chunks. The grammar is that of RFC 9112, section 7.1, as strict as in hyper.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ChunkPosition {
    /// Before the first digit of a chunk's size.
    Start,
    /// Behind a digit of a chunk's size.
    Size(u64),
    /// In the white space behind a chunk's size.
    SizeSpace(u64),
    /// In the extension behind a chunk's size.
    Extension(u64),
    /// Before the line feed behind a chunk's size.
    SizeLineFeed(u64),
    /// In a chunk of which this many bytes follow.
    Data(u64),
    /// Before the carriage return behind a chunk.
    DataEnd,
    /// Before the line feed behind a chunk.
    DataLineFeed,
    /// Before a line of the trailer section.
    TrailerLine,
    /// In a line of the trailer section.
    Trailer,
    /// Before the line feed of a line of the trailer section.
    TrailerLineFeed,
    /// Before the last line feed.
    LastLineFeed,
    /// Behind the end of the body.
    Ended,
}

impl Framing {
    /// Reads the framing from the fields of a head: one valid length, `chunked` as the only transfer coding, or `None` if there
    /// is neither. A proxy that passes on a body in any other framing changes it (RFC 9112, sections 6.1 and 6.3).
    pub(super) fn declared(minor_version: u8, fields: &[Header<'_>]) -> Result<Option<Self>> {
        let mut lengths = values_of("content-length", fields);
        let mut codings = values_of("transfer-encoding", fields);
        match (lengths.next(), codings.next()) {
            (None, None) => Ok(None),
            (Some(length), None) => match (parse_length(length), lengths.next()) {
                (Some(len_bytes), None) => Ok(Some(Self::Length(len_bytes))),
                _ => ContentLengthSnafu.fail(),
            },
            (None, Some(coding)) => {
                let is_chunked = coding.trim_ascii().eq_ignore_ascii_case(b"chunked");
                match is_chunked && minor_version > 0 && codings.next().is_none() {
                    true => Ok(Some(Self::Chunked(ChunkPosition::Start))),
                    false => TransferEncodingSnafu.fail(),
                }
            }
            (Some(_), Some(_)) => TransferEncodingSnafu.fail(),
        }
    }

    /// Whether the whole body has been read.
    pub(super) fn has_ended(&self) -> bool {
        matches!(self, Self::Length(0) | Self::Chunked(ChunkPosition::Ended))
    }

    /// Reads the part of `input` that belongs to the body, and returns its length in bytes. Fails at a byte that cannot stand
    /// there.
    pub(super) fn advance(&mut self, input: &[u8]) -> Result<usize> {
        match self {
            Self::Length(remaining_bytes) => Ok(take(remaining_bytes, input)),
            Self::Chunked(position) => position.advance(input),
            Self::UntilClose => Ok(input.len()),
        }
    }
}

/// Whether a response says that its connection ends with it. In HTTP/1.0 that is so unless it says otherwise.
pub(super) fn ends_connection(minor_version: u8, fields: &[Header<'_>]) -> bool {
    let has_option = |option: &[u8]| {
        let mut options = values_of("connection", fields)
            .flat_map(|value| value.split(|byte| *byte == b','))
            .map(<[u8]>::trim_ascii);
        options.any(|found| found.eq_ignore_ascii_case(option))
    };
    match minor_version {
        0 => !has_option(b"keep-alive"),
        _ => has_option(b"close"),
    }
}

fn values_of<'a>(
    name: &'static str,
    fields: &'a [Header<'a>],
) -> impl Iterator<Item = &'a [u8]> + use<'a> {
    let named = fields
        .iter()
        .filter(move |field| field.name.eq_ignore_ascii_case(name));
    named.map(|field| field.value)
}

/// Parses a decimal number without a sign.
fn parse_length(value: &[u8]) -> Option<u64> {
    let digits = std::str::from_utf8(value.trim_ascii()).ok()?;
    let has_only_digits = digits.bytes().all(|byte| byte.is_ascii_digit());
    let len_bytes = digits.parse().ok().filter(|_| has_only_digits);
    len_bytes.filter(|len_bytes| *len_bytes <= LENGTH_MAX_BYTES)
}

/// Subtracts from `remaining_bytes` what `input` has of them, and returns that number.
fn take(remaining_bytes: &mut u64, input: &[u8]) -> usize {
    let remaining = usize::try_from(*remaining_bytes).unwrap_or(usize::MAX);
    let taken = remaining.min(input.len());
    *remaining_bytes -= taken as u64;
    taken
}

impl ChunkPosition {
    fn advance(&mut self, input: &[u8]) -> Result<usize> {
        let mut read = 0;
        while read < input.len() && *self != Self::Ended {
            if let Self::Data(remaining_bytes) = self {
                read += take(remaining_bytes, &input[read..]);
                if *remaining_bytes == 0 {
                    *self = Self::DataEnd;
                }
            } else {
                *self = self.after_byte(input[read])?;
                read += 1;
            }
        }
        Ok(read)
    }

    /// The position behind one byte that is not part of a chunk.
    fn after_byte(self, byte: u8) -> Result<Self> {
        Ok(match (self, byte) {
            (Self::Start, _) => Self::Size(add_digit(0, byte)?),
            (Self::Size(size) | Self::SizeSpace(size) | Self::Extension(size), b'\r') => {
                Self::SizeLineFeed(size)
            }
            (Self::Size(size) | Self::SizeSpace(size), b' ' | b'\t') => Self::SizeSpace(size),
            (Self::Size(size) | Self::SizeSpace(size), b';') => Self::Extension(size),
            (Self::Size(size), _) => Self::Size(add_digit(size, byte)?),
            (Self::Extension(size), byte) if byte != b'\n' => Self::Extension(size),
            (Self::SizeLineFeed(0), b'\n') => Self::TrailerLine,
            (Self::SizeLineFeed(size), b'\n') => Self::Data(size),
            (Self::DataEnd, b'\r') => Self::DataLineFeed,
            (Self::DataLineFeed, b'\n') => Self::Start,
            (Self::TrailerLine, b'\r') => Self::LastLineFeed,
            (Self::Trailer, b'\r') => Self::TrailerLineFeed,
            (Self::TrailerLine | Self::Trailer, _) => Self::Trailer,
            (Self::TrailerLineFeed, b'\n') => Self::TrailerLine,
            (Self::LastLineFeed, b'\n') => Self::Ended,
            _ => return ChunkSnafu.fail(),
        })
    }
}

/// Appends a hexadecimal digit to the size of a chunk.
fn add_digit(size: u64, byte: u8) -> Result<u64> {
    let digit = char::from(byte).to_digit(16);
    let size = digit.and_then(|digit| size.checked_mul(16)?.checked_add(u64::from(digit)));
    size.map_or_else(|| ChunkSnafu.fail(), Ok)
}
