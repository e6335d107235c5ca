//! Responses as the callers read them, byte by byte as they arrive.

use super::{
    BACKEND_HEADER, HEAD_SIZE_LIMIT, HEADER_LIMIT, HttpError, SERVICE_HEADER, header_number,
    header_text,
};

/// Largest body that a caller keeps, in bytes.
const BODY_SIZE_LIMIT: usize = 1024 * 1024;

/// A whole response.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// The service that the backend says it is.
    pub service: Option<String>,
    /// The backend's name; absent when no backend gave the answer.
    pub backend: Option<String>,
    /// The decoded body.
    pub body: Vec<u8>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Progress {
    Head,
    Counted { remaining: usize },
    ChunkSize,
    ChunkData { remaining: usize },
    ChunkEnd,
    Trailer,
    Done,
}

/// Collects a response from the bytes of a connection.
#[derive(Debug)]
pub struct ResponseReader {
    pending: Vec<u8>,
    response: Response,
    progress: Progress,
}

impl Default for ResponseReader {
    fn default() -> Self {
        Self {
            pending: Vec::new(),
            response: Response::default(),
            progress: Progress::Head,
        }
    }
}

impl ResponseReader {
    /// Adds bytes; returns the response once it is whole.
    ///
    /// # Errors
    ///
    /// Fails when the bytes aren't a response, or when it is longer than a caller keeps.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Option<Response>, HttpError> {
        self.pending.extend_from_slice(bytes);
        while self.progress != Progress::Done {
            if !self.step()? {
                return Ok(None);
            }
        }
        Ok(Some(self.response.clone()))
    }

    /// The part of the response that has arrived.
    #[must_use]
    pub fn partial(&self) -> &Response {
        &self.response
    }

    /// Does one step; returns whether there may be another.
    fn step(&mut self) -> Result<bool, HttpError> {
        match self.progress {
            Progress::Head => self.read_head(),
            Progress::Counted { remaining } => self.read_counted(remaining),
            Progress::ChunkSize => self.read_chunk_size(),
            Progress::ChunkData { remaining } => self.read_chunk_data(remaining),
            Progress::ChunkEnd => self.read_line_end(Progress::ChunkSize),
            Progress::Trailer => self.read_line_end(Progress::Done),
            Progress::Done => Ok(false),
        }
    }

    fn read_head(&mut self) -> Result<bool, HttpError> {
        let mut headers = [httparse::EMPTY_HEADER; HEADER_LIMIT];
        let mut head = httparse::Response::new(&mut headers);
        let httparse::Status::Complete(size) = head.parse(&self.pending)? else {
            return self.check_head_size();
        };
        self.response.status = head.code.unwrap_or_default();
        self.response.service = header_text(head.headers, SERVICE_HEADER).map(str::to_owned);
        self.response.backend = header_text(head.headers, BACKEND_HEADER).map(str::to_owned);
        let encoding = header_text(head.headers, "transfer-encoding");
        self.progress = if encoding.is_some_and(|name| name.eq_ignore_ascii_case("chunked")) {
            Progress::ChunkSize
        } else {
            let length = header_number(head.headers, "content-length")?
                .ok_or(HttpError::Header("content-length"))?;
            counted(length)?
        };
        self.pending.drain(..size);
        Ok(true)
    }

    fn check_head_size(&self) -> Result<bool, HttpError> {
        if self.pending.len() > HEAD_SIZE_LIMIT {
            return Err(HttpError::HeadTooLong);
        }
        Ok(false)
    }

    fn read_counted(&mut self, remaining: usize) -> Result<bool, HttpError> {
        let taken = self.take_body(remaining)?;
        let remaining = remaining - taken;
        self.progress = if remaining == 0 {
            Progress::Done
        } else {
            Progress::Counted { remaining }
        };
        Ok(remaining == 0)
    }

    fn read_chunk_size(&mut self) -> Result<bool, HttpError> {
        let parsed = httparse::parse_chunk_size(&self.pending).map_err(|_| HttpError::Chunk)?;
        let httparse::Status::Complete((consumed, size)) = parsed else {
            return Ok(false);
        };
        self.pending.drain(..consumed);
        self.progress = match usize::try_from(size).map_err(|_| HttpError::Chunk)? {
            0 => Progress::Trailer,
            remaining => Progress::ChunkData { remaining },
        };
        Ok(true)
    }

    fn read_chunk_data(&mut self, remaining: usize) -> Result<bool, HttpError> {
        let taken = self.take_body(remaining)?;
        let remaining = remaining - taken;
        self.progress = if remaining == 0 {
            Progress::ChunkEnd
        } else {
            Progress::ChunkData { remaining }
        };
        Ok(remaining == 0)
    }

    fn read_line_end(&mut self, next: Progress) -> Result<bool, HttpError> {
        if self.pending.len() < 2 {
            return Ok(false);
        }
        if !self.pending.starts_with(b"\r\n") {
            return Err(HttpError::Chunk);
        }
        self.pending.drain(..2);
        self.progress = next;
        Ok(true)
    }

    fn take_body(&mut self, wanted: usize) -> Result<usize, HttpError> {
        let taken = wanted.min(self.pending.len());
        if self.response.body.len() + taken > BODY_SIZE_LIMIT {
            return Err(HttpError::BodyTooLong {
                limit: BODY_SIZE_LIMIT,
            });
        }
        self.response.body.extend(self.pending.drain(..taken));
        Ok(taken)
    }
}

fn counted(length: u64) -> Result<Progress, HttpError> {
    let remaining = usize::try_from(length).map_err(|_| HttpError::Header("content-length"))?;
    Ok(if remaining == 0 {
        Progress::Done
    } else {
        Progress::Counted { remaining }
    })
}
