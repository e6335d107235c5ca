//! Seeded days on which the store is restored from older copies, once to three times, among other trouble and planned work.

use bellyoke_lab::cookie::rules::Violation;
use bellyoke_lab::cookie::scenario::{Action, Scenario, TARGET_ZONES};
use bellyoke_lab::cookie::simulation::{Report, simulate};
use bellyoke_lab::cookie::store::StoreMode;
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// Days that are played here; `BELLYOKE_RESTORATION_DAYS` may ask for more.
const DAYS: u64 = 40;

/// Targets of the first service, each of which drains once at most.
const TARGETS: usize = 8;

const LENGTH_MS: u64 = 44_000;

const fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// A time in which the store is away, which ends with a restoration from a copy.
#[derive(Clone, Copy, Debug)]
struct Outage {
    copied_ms: u64,
    begins_ms: u64,
    ends_ms: u64,
}

impl Outage {
    /// Whether the operator and the targets can't write.
    const fn holds(&self, at_ms: u64) -> bool {
        self.begins_ms <= at_ms && at_ms <= self.ends_ms
    }
}

/// One to three outages, the copies of which are 1 to 20 s old.
fn outages(random: &mut impl Rng) -> Vec<Outage> {
    let mut outages = Vec::new();
    let mut earliest = 4_000;
    for _ in 0..random.random_range(1..=3) {
        let copied_ms = earliest + random.random_range(0..2_000);
        let begins_ms = copied_ms + random.random_range(1_000..20_000);
        let ends_ms = begins_ms + random.random_range(200..3_000);
        if ends_ms + 9_000 > LENGTH_MS {
            break;
        }
        outages.push(Outage {
            copied_ms,
            begins_ms,
            ends_ms,
        });
        earliest = ends_ms + random.random_range(200..4_000);
    }
    outages
}

fn any_change(random: &mut impl Rng, drained: &mut usize) -> Option<Action> {
    Some(match random.random_range(0..8) {
        0..=2 => Action::Configure {
            probe: Some(random.random_range(0..2)),
        },
        3..=4 if *drained < TARGETS / 2 => {
            *drained += 1;
            Action::Drain {
                target: *drained - 1,
                serves_for: ms(random.random_range(3_500..8_000)),
            }
        }
        5 => Action::Start {
            service: 0,
            address_of: None,
        },
        6 => Action::DrainZone(random.random_range(0..TARGET_ZONES - 1)),
        7 => Action::UndrainZone(random.random_range(0..TARGET_ZONES - 1)),
        _ => return None,
    })
}

fn any_trouble(random: &mut impl Rng, nodes: usize) -> Action {
    let node = random.random_range(0..nodes);
    let down = ms(random.random_range(100..2_000));
    match random.random_range(0..6) {
        0 => Action::Kill { node, down },
        1 => Action::KillWatchers { down },
        2 => Action::Terminate { node },
        3 => Action::CutFromStore {
            node,
            cut: random.random_bool(0.5),
        },
        4 => Action::SetStaleness(ms(random.random_range(0..4_000))),
        _ => Action::Compact,
    }
}

fn day(seed: u64) -> Scenario {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let nodes = [5, 9][random.random_range(0..2)];
    let mut scenario = Scenario {
        nodes,
        node_zones: random.random_range(1..=3),
        store_reports_era: random.random_bool(0.5),
        duration: ms(LENGTH_MS),
        ..Scenario::default()
    };
    let outages = outages(&mut random);
    for outage in &outages {
        scenario = scenario
            .at(outage.copied_ms, Action::BackUpStore)
            .at(outage.begins_ms, Action::SetStoreMode(StoreMode::Silent))
            .at(outage.ends_ms, Action::RestoreStore);
    }
    let is_away = |at_ms| outages.iter().any(|outage| outage.holds(at_ms));
    let mut drained = 0;
    let mut at_ms = 3_000;
    while at_ms < LENGTH_MS - 5_000 {
        at_ms += random.random_range(200..2_500);
        if random.random_bool(0.15) {
            let trouble = any_trouble(&mut random, nodes);
            scenario = scenario.at(at_ms, trouble);
        } else if !is_away(at_ms)
            && let Some(change) = any_change(&mut random, &mut drained)
        {
            scenario = scenario.at(at_ms, change);
        }
    }
    scenario
}

#[test]
fn days_with_restorations_break_no_rule() {
    let days = std::env::var("BELLYOKE_RESTORATION_DAYS");
    let days = days.map_or(DAYS, |days| days.parse().expect("a number of days"));
    let broken = |seed: u64| -> Option<(u64, Vec<Violation>)> {
        let report: Report = simulate(day(seed), seed);
        let mut violations = report.violations;
        violations.truncate(3);
        (!violations.is_empty()).then_some((seed, violations))
    };
    let found: Vec<_> = (0..days).filter_map(broken).collect();
    assert!(
        found.is_empty(),
        "{} of {days} days: {found:#?}",
        found.len()
    );
}

/// The store is away for half a second, and then counts past what was known before any node lists it: nothing in its
/// answers shows that it was restored, unless it tells its era.
const UNSEEN_RESTORATION: u64 = 92;

#[test]
fn a_restoration_that_no_list_shows_is_noticed_by_its_era() {
    let scenario = Scenario {
        store_reports_era: true,
        ..day(UNSEEN_RESTORATION)
    };
    assert_eq!(simulate(scenario, UNSEEN_RESTORATION).violations, []);
}

#[test]
fn a_restoration_that_neither_a_list_nor_an_era_shows_is_noticed() {
    let report = simulate(day(UNSEEN_RESTORATION), UNSEEN_RESTORATION);
    assert_eq!(report.violations, []);
}
