//! Joins the traffic threads' reports of adoption into one.

use bellyoke_core::flow::OpenedFlow;
use bellyoke_core::identity::GenerationNumber;
use bellyoke_core::node::AdoptionReport;

/// Waits until all traffic threads forward by the newest generation.
#[derive(Debug)]
pub struct AdoptionCollector {
    workers: Vec<GenerationNumber>,
    expected: GenerationNumber,
    reported: GenerationNumber,
    opened: Vec<OpenedFlow>,
}

impl AdoptionCollector {
    /// A collector for `workers` traffic threads.
    #[must_use]
    pub fn new(workers: usize) -> Self {
        Self {
            workers: vec![GenerationNumber(0); workers],
            expected: GenerationNumber(0),
            reported: GenerationNumber(0),
            opened: Vec::new(),
        }
    }

    /// The threads were handed `generation`.
    pub fn expect(&mut self, generation: GenerationNumber) {
        self.expected = self.expected.max(generation);
    }

    /// Takes in a thread's report. Returns the joint one when it was the last. Flows of a
    /// thread that has skipped a generation, or was overtaken by one, are handed over with the
    /// next.
    pub fn collect(&mut self, worker: usize, report: AdoptionReport) -> Option<AdoptionReport> {
        let adopted = self.workers.get_mut(worker)?;
        *adopted = report.generation.max(*adopted);
        self.opened.extend(report.opened);
        let complete = self.workers.iter().all(|number| *number >= self.expected);
        if !complete || self.reported >= self.expected {
            return None;
        }
        self.reported = self.expected;
        Some(AdoptionReport {
            generation: self.expected,
            opened: std::mem::take(&mut self.opened),
        })
    }
}
