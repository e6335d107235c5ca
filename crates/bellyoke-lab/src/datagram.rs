//! The texts of UDP datagrams between callers and backends.

/// Writes a caller's datagram.
#[must_use]
pub fn datagram_request(service: &str, id: &str, sequence: u64) -> String {
    format!("{service} {id} {sequence}")
}

/// Writes a backend's answer to a datagram.
#[must_use]
pub fn datagram_answer(request: &str, backend: &str) -> String {
    format!("{request} {backend}")
}

/// The service that a datagram asks for.
#[must_use]
pub fn datagram_service(request: &str) -> &str {
    request.split(' ').next().unwrap_or_default()
}

/// A backend's answer to a datagram.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DatagramAnswer {
    /// The service that was asked.
    pub service: String,
    /// The request's identifier.
    pub id: String,
    /// The datagram's number in its flow.
    pub sequence: u64,
    /// The backend's name.
    pub backend: String,
}

impl DatagramAnswer {
    /// Reads an answer; nothing if it isn't one.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let mut fields = text.split(' ').map(str::to_owned);
        let answer = Self {
            service: fields.next()?,
            id: fields.next()?,
            sequence: fields.next()?.parse().ok()?,
            backend: fields.next()?,
        };
        fields.next().is_none().then_some(answer)
    }
}
