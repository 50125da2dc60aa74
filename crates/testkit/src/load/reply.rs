//! Reading of answers that state their length.

/// Reader of the answers of one connection.
#[derive(Debug, Default)]
pub(super) struct Reply {
    head: Vec<u8>,
    left_bytes: Option<u64>,
    is_good: bool,
}

/// What a piece of bytes completed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Step {
    /// More bytes are needed.
    More,
    /// The answer is whole; whether its status is 200.
    Whole(bool),
    /// The bytes are no answer that states its length.
    Broken,
}

impl Reply {
    /// Takes bytes; the connection carries one answer at a time, so none follow a whole answer.
    pub(super) fn take(&mut self, bytes: &[u8]) -> Step {
        let Some(left) = self.left_bytes else {
            return self.take_head(bytes);
        };
        self.take_body(left, bytes.len())
    }

    fn take_head(&mut self, bytes: &[u8]) -> Step {
        self.head.extend_from_slice(bytes);
        let Some(end) = self.head.windows(4).position(|four| four == b"\r\n\r\n") else {
            return Step::More;
        };
        let head = String::from_utf8_lossy(&self.head[..end]).to_ascii_lowercase();
        let Some(length) = content_length(&head) else {
            return Step::Broken;
        };
        self.is_good = head.starts_with("http/1.1 200");
        let body_bytes = self.head.len() - end - 4;
        self.head.clear();
        self.take_body(length, body_bytes)
    }

    fn take_body(&mut self, left: u64, count: usize) -> Step {
        let Some(left) = left.checked_sub(count as u64) else {
            return Step::Broken;
        };
        self.left_bytes = (left > 0).then_some(left);
        if left > 0 {
            Step::More
        } else {
            Step::Whole(self.is_good)
        }
    }
}

fn content_length(head: &str) -> Option<u64> {
    let mut lines = head.split("\r\n");
    let value = lines.find_map(|line| line.strip_prefix("content-length:"))?;
    value.trim().parse().ok()
}
