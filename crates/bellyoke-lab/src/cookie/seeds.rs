//! The seeds that tests of random scenarios play.

use std::num::NonZero;
use std::ops::Range;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

/// Environment variable that replaces the seeds of all random tests, as `START..END`.
pub const SEEDS_VARIABLE: &str = "BELLYOKE_SEEDS";

/// Returns the seeds in [`SEEDS_VARIABLE`], or `default` if it isn't set.
///
/// # Panics
///
/// Panics if the variable is not a range of at least one seed.
#[must_use]
pub fn seeds(default: Range<u64>) -> Range<u64> {
    let Ok(text) = std::env::var(SEEDS_VARIABLE) else {
        return default;
    };
    parse_range(&text)
        .unwrap_or_else(|| panic!("{SEEDS_VARIABLE} must be START..END, got {text:?}"))
}

/// Parses a range of at least one seed.
///
/// ```
/// use bellyoke_lab::cookie::seeds::parse_range;
///
/// assert_eq!(parse_range("200..300"), Some(200..300));
/// assert_eq!(parse_range("300..200"), None);
/// assert_eq!(parse_range("200"), None);
/// ```
#[must_use]
pub fn parse_range(text: &str) -> Option<Range<u64>> {
    let (start, end) = text.split_once("..")?;
    let range = start.parse().ok()?..end.parse().ok()?;
    (!range.is_empty()).then_some(range)
}

/// Runs `run` for each seed on all processors. Returns the results in the order of the seeds.
///
/// ```
/// use bellyoke_lab::cookie::seeds::run_each;
///
/// assert_eq!(run_each(2..5, |seed| seed * 10), [20, 30, 40]);
/// ```
///
/// # Panics
///
/// Panics if `run` does.
pub fn run_each<Output: Send>(
    seeds: Range<u64>,
    run: impl Fn(u64) -> Output + Sync,
) -> Vec<Output> {
    let next = AtomicU64::new(seeds.start);
    let results = Mutex::new(Vec::new());
    let work = || {
        loop {
            let seed = next.fetch_add(1, Ordering::Relaxed);
            if !seeds.contains(&seed) {
                return;
            }
            let output = run(seed);
            let mut results = results.lock().expect("no other thread has panicked");
            results.push((seed, output));
        }
    };
    let threads = std::thread::available_parallelism().map_or(1, NonZero::get);
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(work);
        }
    });
    let mut results = results.into_inner().expect("no thread has panicked");
    results.sort_unstable_by_key(|(seed, _)| *seed);
    results.into_iter().map(|(_, output)| output).collect()
}

/// Asserts that `check` succeeds for each seed.
///
/// # Panics
///
/// Panics with the failing seeds and their errors if there are any.
pub fn assert_each(seeds: Range<u64>, check: impl Fn(u64) -> Result<(), String> + Sync) {
    let played = seeds.end - seeds.start;
    let results = run_each(seeds, |seed| {
        check(seed).map_err(|error| format!("seed {seed}: {error}"))
    });
    let failures: Vec<String> = results.into_iter().filter_map(Result::err).collect();
    let count = failures.len();
    assert!(
        count == 0,
        "{count} of {played} seeds fail:\n{}",
        failures.join("\n")
    );
}
