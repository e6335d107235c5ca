//! Joins the traffic threads' reports of settled buckets: a bucket is settled on the node when
//! it is on every thread, under the same generation.

use bellyoke_core::flow::SettledBucket;
use bellyoke_core::identity::GenerationNumber;
use std::collections::{HashMap, HashSet};

/// Which threads have reported which buckets under the newest generation.
#[derive(Debug)]
pub struct SettlingCollector {
    workers: usize,
    generation: GenerationNumber,
    reported: HashMap<SettledBucket, HashSet<usize>>,
}

impl SettlingCollector {
    /// A collector for `workers` traffic threads.
    #[must_use]
    pub fn new(workers: usize) -> Self {
        Self {
            workers,
            generation: GenerationNumber(0),
            reported: HashMap::new(),
        }
    }

    /// Takes in a thread's report under `generation`. Returns the buckets that all threads
    /// have reported now.
    pub fn collect(
        &mut self,
        worker: usize,
        generation: GenerationNumber,
        buckets: Vec<SettledBucket>,
    ) -> Vec<SettledBucket> {
        if generation < self.generation {
            return Vec::new();
        }
        if generation > self.generation {
            self.generation = generation;
            self.reported.clear();
        }
        let mut settled = Vec::new();
        for bucket in buckets {
            let threads = self.reported.entry(bucket).or_default();
            let first_time = threads.insert(worker);
            if first_time && threads.len() == self.workers {
                settled.push(bucket);
            }
        }
        settled
    }
}
