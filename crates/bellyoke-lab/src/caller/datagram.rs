//! A UDP flow of a caller: datagrams one after another, each echoed by a backend, all by the same one.

use std::net::SocketAddr;

use smoltcp::iface::SocketHandle;
use smoltcp::socket::udp::{Socket, UdpMetadata};
use smoltcp::time::{Duration, Instant};
use smoltcp::wire::IpEndpoint;

use super::answer::Outcome;
use super::exchange::Step;
use crate::datagram::{DatagramAnswer, datagram_request};
use crate::network::FlowKey;

/// Time after which a datagram without an answer is sent again.
const RESEND_INTERVAL: Duration = Duration::from_millis(500);

/// What a UDP flow does.
#[derive(Debug, Clone)]
pub struct DatagramPlan {
    /// The request's identifier.
    pub id: String,
    /// The service that is asked.
    pub service: String,
    /// The caller's address and port.
    pub source: SocketAddr,
    /// The service's address.
    pub target: SocketAddr,
    /// Datagrams to send.
    pub count: u64,
    /// Time between an answer and the next datagram.
    pub interval: Duration,
}

/// One UDP flow.
#[derive(Debug)]
pub struct DatagramExchange {
    /// Its socket.
    pub handle: SocketHandle,
    /// Number of the caller that made it.
    pub lane: usize,
    plan: DatagramPlan,
    answered: u64,
    backend: Option<String>,
    next_send: Instant,
    last_progress: Instant,
    is_unreachable: bool,
    is_decided: bool,
}

impl DatagramExchange {
    /// Starts a flow on a socket that is bound to its source.
    pub fn new(handle: SocketHandle, lane: usize, plan: DatagramPlan, now: Instant) -> Self {
        Self {
            handle,
            lane,
            plan,
            answered: 0,
            backend: None,
            next_send: now,
            last_progress: now,
            is_unreachable: false,
            is_decided: false,
        }
    }

    /// What the flow does.
    pub fn plan(&self) -> &DatagramPlan {
        &self.plan
    }

    /// Notes an ICMP error about `flow`.
    pub fn note_unreachable(&mut self, flow: &FlowKey) {
        if *flow == FlowKey::udp(self.plan.source, self.plan.target) {
            self.is_unreachable = true;
        }
    }

    /// Does what is due.
    pub fn advance(&mut self, socket: &mut Socket<'_>, now: Instant, patience: Duration) -> Step {
        if self.is_decided {
            return Step::Closed;
        }
        let outcome = self
            .receive(socket, now)
            .or_else(|| self.check_ended(now, patience));
        if let Some(outcome) = outcome {
            self.is_decided = true;
            return Step::Decided(outcome);
        }
        if now >= self.next_send {
            self.send(socket);
            self.next_send = now + RESEND_INTERVAL;
        }
        Step::Waiting
    }

    /// When [`Self::advance`] has something to do even if no packet comes.
    pub fn deadline(&self, patience: Duration) -> Instant {
        self.next_send.min(self.last_progress + patience)
    }

    fn check_ended(&self, now: Instant, patience: Duration) -> Option<Outcome> {
        let answered = self.answered;
        if answered == self.plan.count {
            return Some(Outcome::Answered);
        }
        if self.is_unreachable && answered == 0 {
            return Some(Outcome::Refused);
        }
        if self.is_unreachable {
            return Some(Outcome::Broken(format!(
                "unreachable after {answered} answers"
            )));
        }
        if now >= self.last_progress + patience {
            return Some(Outcome::Broken(format!(
                "no answer for {patience} after {answered} answers"
            )));
        }
        None
    }

    fn send(&self, socket: &mut Socket<'_>) {
        let request = datagram_request(&self.plan.service, &self.plan.id, self.answered);
        let mut metadata = UdpMetadata::from(IpEndpoint::from(self.plan.target));
        metadata.local_address = Some(self.plan.source.ip().into());
        // A full socket is like a lost datagram: it's sent again.
        let _ = socket.send_slice(request.as_bytes(), metadata);
    }

    fn receive(&mut self, socket: &mut Socket<'_>, now: Instant) -> Option<Outcome> {
        while let Ok((payload, _)) = socket.recv() {
            let text = String::from_utf8_lossy(payload);
            let Some(answer) = DatagramAnswer::parse(&text) else {
                return Some(Outcome::Broken(format!("answer not understood: {text:?}")));
            };
            if let Some(outcome) = self.take_answer(&answer, now) {
                return Some(outcome);
            }
        }
        None
    }

    fn take_answer(&mut self, answer: &DatagramAnswer, now: Instant) -> Option<Outcome> {
        if answer.id != self.plan.id || answer.service != self.plan.service {
            return Some(Outcome::Crossed(format!(
                "answer to another request: {answer:?}"
            )));
        }
        let first = self.backend.get_or_insert_with(|| answer.backend.clone());
        if *first != answer.backend {
            let reason = format!("flow moved from {first} to {}", answer.backend);
            return Some(Outcome::Broken(reason));
        }
        // An answer to an earlier datagram is a duplicate.
        if answer.sequence == self.answered {
            self.answered += 1;
            self.last_progress = now;
            self.next_send = now + self.plan.interval;
        }
        None
    }
}
