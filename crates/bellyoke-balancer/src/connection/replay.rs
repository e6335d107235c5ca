//! Refuses datagrams that were received before.
//!
//! A sliding window over sequence numbers, as IPsec has (RFC 4303, 3.4.3).

use bellyoke_core::identity::NodeId;
use std::collections::HashMap;

/// Sequence numbers below the highest that are still told apart.
pub const WINDOW: u64 = 1024;

const WORD_BITS: u64 = 64;
const WORDS: usize = (WINDOW / WORD_BITS) as usize;

/// Which sequence numbers of one sender were received.
#[derive(Clone, Debug, Default)]
pub struct ReplayWindow {
    highest: u64,
    seen: [u64; WORDS],
}

impl ReplayWindow {
    /// Takes note of `sequence`; false if it was received before or is too old to tell.
    /// Sequence numbers start at 1.
    pub fn accept(&mut self, sequence: u64) -> bool {
        if sequence == 0 || sequence.saturating_add(WINDOW) <= self.highest {
            return false;
        }
        self.advance(sequence);
        let (word, bit) = place(sequence);
        let fresh = self.seen[word] & bit == 0;
        self.seen[word] |= bit;
        fresh
    }

    /// Moves the window up to `sequence` and clears the places that are used again.
    fn advance(&mut self, sequence: u64) {
        if sequence <= self.highest {
            return;
        }
        let steps = (sequence - self.highest).min(WINDOW);
        for passed in 0..steps {
            let (word, bit) = place(sequence - passed);
            self.seen[word] &= !bit;
        }
        self.highest = sequence;
    }
}

/// Word and bit of `sequence`.
const fn place(sequence: u64) -> (usize, u64) {
    let position = sequence % WINDOW;
    let word = (position / WORD_BITS) as usize;
    (word, 1 << (position % WORD_BITS))
}

/// One window for each sender, of bounded number.
#[derive(Debug)]
pub struct ReplayGuard {
    windows: HashMap<NodeId, Entry>,
    capacity: usize,
    received: u64,
}

#[derive(Debug)]
struct Entry {
    window: ReplayWindow,
    last_used: u64,
}

impl ReplayGuard {
    /// Windows for at most `capacity` senders; of more, the one that was silent for longest is
    /// forgotten.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            windows: HashMap::new(),
            capacity: capacity.max(1),
            received: 0,
        }
    }

    /// Takes note of an authenticated datagram; false if it was received before.
    pub fn accept(&mut self, sender: NodeId, sequence: u64) -> bool {
        self.received += 1;
        if !self.windows.contains_key(&sender) && self.windows.len() >= self.capacity {
            self.forget_longest_silent();
        }
        let entry = self.windows.entry(sender).or_insert_with(|| Entry {
            window: ReplayWindow::default(),
            last_used: 0,
        });
        entry.last_used = self.received;
        entry.window.accept(sequence)
    }

    fn forget_longest_silent(&mut self) {
        let silent = self.windows.iter().min_by_key(|(_, entry)| entry.last_used);
        if let Some(sender) = silent.map(|(sender, _)| *sender) {
            self.windows.remove(&sender);
        }
    }
}
