//! Random scenarios (days) in which the store is restored from older backups one to three times, along with
//! other faults, drains and changes of the configuration.

use bellyoke_lab::cookie::rules::Violation;
use bellyoke_lab::cookie::scenario::{Action, Scenario, TARGET_ZONES};
use bellyoke_lab::cookie::seeds::{run_each, seeds};
use bellyoke_lab::cookie::simulation::{Report, simulate};
use bellyoke_lab::cookie::store::StoreMode;
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::ops::Range;
use std::time::Duration;

/// Number of scenarios; `BELLYOKE_RESTORATION_DAYS` overrides it.
const DEFAULT_DAYS: u64 = 40;

/// Number of targets of the first service, each of which is drained at most once.
const TARGETS: usize = 8;

/// Simulated duration of a scenario.
const DAY_DURATION_MS: u64 = 44_000;

const fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// A period in which the store doesn't answer; it ends with a restoration from a backup.
#[derive(Clone, Copy, Debug)]
struct Outage {
    backup_at_ms: u64,
    start_ms: u64,
    end_ms: u64,
}

impl Outage {
    /// Returns whether operators and targets can't write to the store at this time.
    const fn contains(&self, at_ms: u64) -> bool {
        self.start_ms <= at_ms && at_ms <= self.end_ms
    }
}

/// The ranges from which a scenario is drawn.
#[derive(Clone, Debug)]
struct DayRange {
    /// Time from a backup to the outage, in milliseconds.
    backup_age_ms: Range<u64>,
    /// Length of an outage, in milliseconds.
    outage_ms: Range<u64>,
    /// Numbers of nodes.
    nodes: &'static [usize],
    /// Whether the store may report its era.
    may_report_era: bool,
    /// Whether the store loses changes in the outages.
    loses_changes: bool,
}

/// Backups 1 to 20 s old and short outages.
const USUAL: DayRange = DayRange {
    backup_age_ms: 1_000..20_000,
    outage_ms: 200..3_000,
    nodes: &[5, 9],
    may_report_era: true,
    loses_changes: true,
};

/// Generates one to three outages, each with a backup that is made before its start.
fn outages(random: &mut impl Rng, range: &DayRange) -> Vec<Outage> {
    let mut outages = Vec::new();
    let mut earliest_ms = 4_000;
    for _ in 0..random.random_range(1..=3) {
        let backup_at_ms = earliest_ms + random.random_range(0..2_000);
        let start_ms = backup_at_ms + random.random_range(range.backup_age_ms.clone());
        let end_ms = start_ms + random.random_range(range.outage_ms.clone());
        if end_ms + 9_000 > DAY_DURATION_MS {
            break;
        }
        outages.push(Outage {
            backup_at_ms,
            start_ms,
            end_ms,
        });
        earliest_ms = end_ms + random.random_range(200..4_000);
    }
    outages
}

/// Generates a planned change, if any.
fn random_change(random: &mut impl Rng, drained_count: &mut usize) -> Option<Action> {
    Some(match random.random_range(0..8) {
        0..=2 => Action::Configure {
            probe: Some(random.random_range(0..2)),
        },
        3..=4 if *drained_count < TARGETS / 2 => {
            *drained_count += 1;
            Action::Drain {
                target: *drained_count - 1,
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

/// Generates a fault of a node or of the store.
fn random_fault(random: &mut impl Rng, nodes: usize) -> Action {
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

/// Generates the scenario of a seed.
fn day(seed: u64) -> Scenario {
    day_within(&USUAL, seed)
}

/// Generates the scenario of a seed within a range.
fn day_within(range: &DayRange, seed: u64) -> Scenario {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let nodes = range.nodes[random.random_range(0..range.nodes.len())];
    let mut scenario = Scenario {
        nodes,
        node_zones: random.random_range(1..=3),
        store_reports_era: random.random_bool(0.5) && range.may_report_era,
        duration: ms(DAY_DURATION_MS),
        ..Scenario::default()
    };
    let outages = outages(&mut random, range);
    let end = if range.loses_changes {
        Action::RestoreStore
    } else {
        Action::SetStoreMode(StoreMode::Up)
    };
    for outage in &outages {
        scenario = scenario
            .at(outage.backup_at_ms, Action::BackUpStore)
            .at(outage.start_ms, Action::SetStoreMode(StoreMode::Silent))
            .at(outage.end_ms, end.clone());
    }
    let in_outage = |at_ms| outages.iter().any(|outage| outage.contains(at_ms));
    let mut drained_count = 0;
    let mut at_ms = 3_000;
    while at_ms < DAY_DURATION_MS - 5_000 {
        at_ms += random.random_range(200..2_500);
        if random.random_bool(0.15) {
            let fault = random_fault(&mut random, nodes);
            scenario = scenario.at(at_ms, fault);
        } else if !in_outage(at_ms)
            && let Some(change) = random_change(&mut random, &mut drained_count)
        {
            scenario = scenario.at(at_ms, change);
        }
    }
    scenario
}

/// Number of scenarios, unless the environment sets their seeds.
fn days() -> Range<u64> {
    let days = std::env::var("BELLYOKE_RESTORATION_DAYS");
    let days = days.map_or(DEFAULT_DAYS, |days| days.parse().expect("a number of days"));
    seeds(0..days)
}

/// Asserts that no scenario of a range violates a rule, and that nodes infer no more restorations
/// than the store had.
fn assert_days_hold(range: &DayRange) {
    let violations_of = |seed: u64| -> Option<(u64, Vec<Violation>)> {
        let scenario = day_within(range, seed);
        let restorations = scenario
            .actions
            .iter()
            .filter(|(_, action)| matches!(action, Action::RestoreStore));
        let restorations = restorations.count();
        let report: Report = simulate(scenario, seed);
        assert!(
            usize::from(report.highest_era.0) <= restorations,
            "seed {seed}: nodes know era {}, the store was restored {restorations} times",
            report.highest_era
        );
        let mut violations = report.violations;
        violations.truncate(3);
        (!violations.is_empty()).then_some((seed, violations))
    };
    let found: Vec<_> = run_each(days(), violations_of);
    let found: Vec<_> = found.into_iter().flatten().collect();
    assert!(
        found.is_empty(),
        "{} scenarios have violations: {found:#?}",
        found.len()
    );
}

#[test]
fn random_restorations_violate_no_rule() {
    assert_days_hold(&USUAL);
}

/// Guards against restorations that are inferred from an outage after which the store has all its
/// changes.
#[test]
fn random_outages_without_data_loss_are_no_restorations() {
    assert_days_hold(&DayRange {
        may_report_era: false,
        loses_changes: false,
        ..USUAL
    });
}

/// Guards against restorations that stay unnoticed because the outage is shorter or longer, the
/// backup is younger or older, or the cluster is smaller or larger than usual.
#[test]
fn random_restorations_of_any_length_violate_no_rule_without_an_era() {
    assert_days_hold(&DayRange {
        backup_age_ms: 100..28_000,
        outage_ms: 50..12_000,
        nodes: &[2, 3, 12, 30],
        may_report_era: false,
        loses_changes: true,
    });
}

/// Seed of a scenario in which the store is unavailable for half a second and, once restored, passes the last known
/// revision before any node lists it. Its revisions alone don't show that it was restored.
const UNSEEN_RESTORATION: u64 = 92;

#[test]
fn a_restoration_that_no_list_shows_is_detected_by_its_era() {
    let scenario = Scenario {
        store_reports_era: true,
        ..day(UNSEEN_RESTORATION)
    };
    assert_eq!(simulate(scenario, UNSEEN_RESTORATION).violations, []);
}

/// Guards against new flows to a draining target after a restoration that a watch did not show.
#[test]
fn a_restoration_that_neither_a_list_nor_an_era_shows_is_noticed() {
    let report = simulate(day(UNSEEN_RESTORATION), UNSEEN_RESTORATION);
    assert_eq!(report.violations, []);
}
