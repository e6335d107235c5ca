//! What peers tell each other of instances that may be dead: whose openings fail, which are in question, and
//! which live.

use super::{Exchange, ExchangeEffect, Heartbeat, Objection, Question};
use crate::cookie::instance::Cookie;
use std::collections::BTreeSet;

/// Peers that must agree that an instance fails.
const WITNESSES: usize = 2;

impl Exchange {
    /// Instances that don't complete the openings that this node sends itself. What it only
    /// heard of is not told on, so that a suspicion ends with those who saw it.
    pub fn set_failing(&mut self, mut failing: Vec<Cookie>) {
        failing.truncate(Heartbeat::MAXIMUM_FAILING);
        self.failing = failing;
    }

    /// Passes on that some instances are in question, so that all nodes find out at once.
    pub fn ask_peers(&mut self, cookies: &[Cookie]) -> Vec<ExchangeEffect> {
        let mut effects = Vec::new();
        for cookies in cookies.chunks(Question::MAXIMUM_COOKIES) {
            let question = Question {
                cookies: cookies.iter().map(|cookie| cookie.bits()).collect(),
            };
            let receivers = self.urgent_receivers();
            effects.extend(
                receivers
                    .into_iter()
                    .map(|to| ExchangeEffect::SendQuestion {
                        to,
                        question: question.clone(),
                    }),
            );
        }
        effects
    }

    /// Objects to a question: some instances live.
    pub fn tell_living(&mut self, cookies: &[Cookie]) -> Vec<ExchangeEffect> {
        let mut effects = Vec::new();
        for cookies in cookies.chunks(Objection::MAXIMUM_COOKIES) {
            let objection = Objection {
                cookies: cookies.iter().map(|cookie| cookie.bits()).collect(),
            };
            let receivers = self.urgent_receivers();
            let sent = receivers.into_iter().map(|to| {
                let objection = objection.clone();
                ExchangeEffect::SendObjection { to, objection }
            });
            effects.extend(sent);
        }
        effects
    }

    /// Instances that peers suspect. Several must agree before one counts: one alone may be
    /// cut off from it itself.
    #[must_use]
    pub fn peer_suspicions(&self) -> BTreeSet<Cookie> {
        self.peers.suspected(WITNESSES)
    }
}
