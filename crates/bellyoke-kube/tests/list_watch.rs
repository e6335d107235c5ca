//! The state that a list-and-watch reader builds never goes back.

use bellyoke_kube::backoff::Backoff;
use bellyoke_kube::list_watch::{Action, ListVerdict, ListWatch};
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::time::Duration;

fn objects(names: &[&str]) -> Vec<(String, u64)> {
    names.iter().map(|name| ((*name).to_owned(), 0)).collect()
}

#[test]
fn it_lists_first_then_watches_and_lists_again_when_expired() {
    let mut state = ListWatch::default();
    assert_eq!(state.next_action(), Action::List);
    assert_eq!(state.listed(5, objects(&["a"])), ListVerdict::Taken);
    assert_eq!(state.next_action(), Action::Watch { after: 5 });
    assert!(state.bookmarked(9));
    assert_eq!(state.next_action(), Action::Watch { after: 9 });
    state.expired();
    assert_eq!(state.next_action(), Action::List);
}

#[test]
fn an_older_list_is_ignored_and_asked_for_again() {
    let mut state = ListWatch::default();
    state.listed(5, objects(&["a"]));
    state.applied(8, "b".to_owned(), 1);
    state.expired();
    let verdict = state.listed(7, objects(&["c"]));
    assert_eq!(verdict, ListVerdict::Stale { known: 8 });
    assert_eq!(state.revision(), Some(8));
    assert_eq!(state.objects().count(), 2);
    assert_eq!(state.next_action(), Action::List);
    assert_eq!(state.listed(8, objects(&["a"])), ListVerdict::Taken);
    assert_eq!(state.objects().count(), 1);
}

#[test]
fn nothing_is_taken_before_the_first_list() {
    let mut state = ListWatch::default();
    assert!(!state.applied(3, "a".to_owned(), 1));
    assert_eq!(state.revision(), None);
}

proptest! {
    #[test]
    fn repeated_and_late_events_change_nothing(
        events in prop::collection::vec((1..40_u64, 0..4_u8, any::<bool>()), 1..60),
    ) {
        let mut state = ListWatch::default();
        state.listed(1, Vec::new());
        let mut newest: std::collections::BTreeMap<u8, u64> = std::collections::BTreeMap::new();
        for (revision, name, deletes) in events {
            let before = state.revision().unwrap();
            let taken = if deletes {
                state.deleted(revision, &name.to_string())
            } else {
                state.applied(revision, name.to_string(), revision)
            };
            prop_assert_eq!(taken, revision > before);
            prop_assert_eq!(state.revision(), Some(before.max(revision)));
            match (taken, deletes) {
                (true, true) => { newest.remove(&name); }
                (true, false) => { newest.insert(name, revision); }
                (false, _) => {}
            }
            let kept: Vec<u64> = state.objects().copied().collect();
            prop_assert_eq!(kept, newest.values().copied().collect::<Vec<_>>());
        }
    }

    #[test]
    fn delays_stay_below_a_ceiling_that_doubles(seed: u64) {
        let mut random = SmallRng::seed_from_u64(seed);
        let first = Duration::from_millis(10);
        let ceiling = Duration::from_millis(35);
        let mut backoff = Backoff::new(first, ceiling);
        for limit in [10, 20, 35, 35] {
            prop_assert!(backoff.next_delay(&mut random) <= Duration::from_millis(limit));
        }
        backoff.reset();
        prop_assert!(backoff.next_delay(&mut random) <= first);
    }
}
