//! Parser of responses with a `content-length`.

/// Incremental parser of the responses on one connection.
#[derive(Debug, Default)]
pub(super) struct Reply {
    head: Vec<u8>,
    /// Rest of the body, or `None` before the end of the head.
    remaining_bytes: Option<u64>,
    is_success: bool,
}

/// Parser state after some bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Step {
    /// More bytes are needed.
    Incomplete,
    /// The response is complete; holds whether its status is 200.
    Complete(bool),
    /// The bytes are not a response with a valid `content-length`.
    Invalid,
}

impl Reply {
    /// Parses received bytes. Requests are not pipelined, so no bytes follow a complete response.
    pub(super) fn consume(&mut self, bytes: &[u8]) -> Step {
        let Some(remaining) = self.remaining_bytes else {
            return self.consume_head(bytes);
        };
        self.consume_body(remaining, bytes.len())
    }

    fn consume_head(&mut self, bytes: &[u8]) -> Step {
        self.head.extend_from_slice(bytes);
        let Some(end) = self.head.windows(4).position(|four| four == b"\r\n\r\n") else {
            return Step::Incomplete;
        };
        let head = String::from_utf8_lossy(&self.head[..end]).to_ascii_lowercase();
        let Some(length) = content_length(&head) else {
            return Step::Invalid;
        };
        self.is_success = head.starts_with("http/1.1 200");
        let body_bytes = self.head.len() - end - 4;
        self.head.clear();
        self.consume_body(length, body_bytes)
    }

    fn consume_body(&mut self, remaining: u64, count: usize) -> Step {
        let Some(remaining) = remaining.checked_sub(count as u64) else {
            return Step::Invalid;
        };
        self.remaining_bytes = (remaining > 0).then_some(remaining);
        if remaining > 0 {
            Step::Incomplete
        } else {
            Step::Complete(self.is_success)
        }
    }
}

fn content_length(head: &str) -> Option<u64> {
    let mut lines = head.split("\r\n");
    let value = lines.find_map(|line| line.strip_prefix("content-length:"))?;
    value.trim().parse().ok()
}
