//! How far a request has arrived that comes in pieces, so that each piece is looked at once.
//!
//! Parsing a request from its start for each of its pieces takes time that grows with the square of its
//! length: hundreds of clients that write slowly would delay everybody else.

use crate::net::http::{self, ChunkDecoder, Framing, HttpError, MAX_BODY_BYTES, MAX_HEAD_BYTES};

/// What is known of a request that is not complete.
#[derive(Debug, Default)]
pub enum RequestProgress {
    /// Nothing has been parsed.
    #[default]
    New,
    /// The head is incomplete, and so many bytes have been looked at.
    Head { seen: usize },
    /// The request is complete with this many bytes.
    Length { total: usize },
    /// The body comes in chunks, and so many bytes of the request have been decoded.
    Chunked { decoder: ChunkDecoder, decoded: usize, body_bytes: usize },
}

impl RequestProgress {
    /// Whether the request at the start of `input` has to be parsed: it may be complete, or invalid.
    pub fn may_be_complete(&mut self, input: &[u8]) -> bool {
        match self {
            RequestProgress::New => true,
            RequestProgress::Head { seen } => {
                // A head is completed, or exceeds the number of headers, with the end of a line.
                let has_line_end = input[*seen..].contains(&b'\n');
                *seen = input.len();
                has_line_end || input.len() >= MAX_HEAD_BYTES
            }
            RequestProgress::Length { total } => input.len() >= *total,
            RequestProgress::Chunked { decoder, decoded, body_bytes } => {
                let mut data = Vec::new();
                let Ok(used) = decoder.feed(&input[*decoded..], &mut data) else { return true };
                *decoded += used;
                *body_bytes += data.len();
                decoder.is_done() || *body_bytes > MAX_BODY_BYTES
            }
        }
    }

    /// Notes that the request at the start of `input` has been parsed and is incomplete.
    ///
    /// # Errors
    ///
    /// The bytes are not a valid request.
    pub fn note_incomplete(&mut self, input: &[u8]) -> Result<(), HttpError> {
        *self = match http::parse_request_head(input)? {
            None => RequestProgress::Head { seen: input.len() },
            Some((_, Framing::Length(length), head_length)) => {
                RequestProgress::Length { total: head_length + length }
            }
            Some((_, _, head_length)) => {
                let decoder = ChunkDecoder::default();
                RequestProgress::Chunked { decoder, decoded: head_length, body_bytes: 0 }
            }
        };
        Ok(())
    }
}
