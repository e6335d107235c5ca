//! List, watch, and what may go wrong.

use crate::support::at;
use bellyoke_core::cookie::follower::{
    Answer, Follower, FollowerSettings, Freshness, Next, Read, Update,
};
use bellyoke_core::cookie::revision::Revision;
use proptest::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

type TestAnswer = Answer<u32, u32>;

struct Harness {
    follower: Follower<u32>,
    random: ChaCha8Rng,
    now: u64,
}

impl Harness {
    fn new() -> Self {
        Self {
            follower: Follower::new(FollowerSettings::default()),
            random: ChaCha8Rng::seed_from_u64(1),
            now: 0,
        }
    }

    fn watching() -> Self {
        let mut harness = Self::new();
        harness.answer(page(&[1], None, 10));
        harness
    }

    fn next(&self) -> Next {
        self.follower.next(at(self.now), Freshness::MayBeStale)
    }

    fn answer(&mut self, answer: TestAnswer) -> Option<Update<u32, u32>> {
        self.follower.answer(at(self.now), answer, &mut self.random)
    }
}

fn page(items: &[u32], next_after: Option<&str>, at: u64) -> TestAnswer {
    Answer::Page {
        items: items.to_vec(),
        next_after: next_after.map(str::to_owned),
        at: Revision(at),
    }
}

fn list(after: Option<&str>, freshness: Freshness) -> Next {
    Next::Call(Read::List {
        after: after.map(str::to_owned),
        freshness,
    })
}

fn watch(from: u64) -> Next {
    Next::Call(Read::Watch {
        from: Revision(from),
        wait: Duration::from_secs(2),
        freshness: Freshness::MayBeStale,
    })
}

#[test]
fn it_lists_then_watches_from_the_list() {
    let mut harness = Harness::new();
    assert_eq!(harness.next(), list(None, Freshness::Newest));
    let update = harness.answer(page(&[1, 2], None, 10));
    let whole = Update::Whole {
        at: Revision(10),
        items: vec![1, 2],
    };
    assert_eq!(update, Some(whole));
    assert_eq!(harness.next(), watch(10));
    let changes = Answer::Changes {
        events: vec![3],
        at: Revision(12),
    };
    assert!(harness.answer(changes).is_some());
    assert_eq!(harness.next(), watch(12));
}

#[test]
fn a_list_of_many_pages_is_true_at_its_first() {
    let mut harness = Harness::new();
    assert_eq!(harness.answer(page(&[1], Some("a"), 10)), None);
    assert_eq!(harness.next(), list(Some("a"), Freshness::Newest));
    let update = harness.answer(page(&[2], None, 15));
    let whole = Update::Whole {
        at: Revision(10),
        items: vec![1, 2],
    };
    assert_eq!(update, Some(whole));
    assert_eq!(
        harness.next(),
        watch(10),
        "what changed between the pages is told again"
    );
}

#[test]
fn it_lists_again_at_once_when_history_is_gone() {
    let mut harness = Harness::watching();
    harness.answer(Answer::HistoryGone);
    assert_eq!(harness.next(), list(None, Freshness::Newest));
}

#[test]
fn a_reader_watches_for_the_newest_state() {
    let harness = Harness::watching();
    let next = harness.follower.next(at(0), Freshness::Newest);
    let watch = Read::Watch {
        from: Revision(10),
        wait: Duration::from_secs(3),
        freshness: Freshness::Newest,
    };
    assert_eq!(next, Next::Call(watch));
}

#[test]
fn it_follows_while_it_has_a_list_and_answers() {
    let mut harness = Harness::new();
    assert!(!harness.follower.is_following());
    harness.answer(page(&[1], None, 10));
    assert!(harness.follower.is_following());
    harness.answer(Answer::Failed);
    assert!(!harness.follower.is_following());
    let changes = Answer::Changes {
        events: vec![],
        at: Revision(10),
    };
    harness.answer(changes);
    assert!(harness.follower.is_following());
}

#[test]
fn a_refused_list_is_repeated_as_a_cheap_one() {
    let mut harness = Harness::new();
    harness.answer(Answer::Throttled);
    harness.now += 200;
    assert_eq!(harness.next(), list(None, Freshness::MayBeStale));
}

#[test]
fn a_failed_watch_goes_on_where_it_was() {
    let mut harness = Harness::watching();
    harness.answer(Answer::Failed);
    assert!(matches!(harness.next(), Next::WaitUntil(_)));
    harness.now += 1_000;
    assert_eq!(harness.next(), watch(10));
}

#[test]
fn a_watch_never_goes_back() {
    let mut harness = Harness::watching();
    harness.answer(Answer::Changes {
        events: vec![],
        at: Revision(4),
    });
    assert_eq!(harness.next(), watch(10));
}

#[test]
fn an_answer_of_the_wrong_kind_is_no_news() {
    let mut harness = Harness::new();
    assert_eq!(
        harness.answer(Answer::Changes {
            events: vec![1],
            at: Revision(4)
        }),
        None
    );
    assert_eq!(harness.next(), list(None, Freshness::Newest));
    let mut harness = Harness::watching();
    assert_eq!(harness.answer(page(&[1], None, 20)), None);
    assert_eq!(harness.next(), watch(10));
}

proptest! {
    /// Pauses grow to their longest and no further, and differ from node to node.
    #[test]
    fn pauses_are_bounded(seed in any::<u64>(), failures in 1..100_usize) {
        let mut harness = Harness::new();
        harness.random = ChaCha8Rng::seed_from_u64(seed);
        for _ in 0..failures {
            harness.answer(Answer::Failed);
            let Next::WaitUntil(until) = harness.next() else {
                panic!("no pause after a failure");
            };
            let pause = until.since(at(harness.now));
            prop_assert!(pause >= Duration::from_millis(50));
            prop_assert!(pause <= Duration::from_secs(1));
            harness.now = until.as_micros().div_ceil(1_000);
        }
    }
}
