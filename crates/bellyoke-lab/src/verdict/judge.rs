//! What callers were told, against what backends did.

use std::collections::BTreeMap;
use std::fmt;

use crate::backend::BackendReport;
use crate::caller::{CallerReport, Failure};

/// Something that must not happen.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Finding {
    /// A request without a whole answer.
    Broken(Failure),
    /// A request with another's answer.
    Crossed(Failure),
    /// Traffic of a service that a backend must not see.
    WrongService {
        /// The backend.
        backend: String,
        /// What it saw.
        detail: String,
    },
    /// A request that ran more than once.
    Doubled {
        /// The request's identifier.
        id: String,
        /// How often it ran.
        runs: u64,
    },
    /// A request that ran though its caller was told that it was not run.
    FalselyNotRun {
        /// The request's identifier.
        id: String,
    },
    /// A report that is incomplete, so that the verdict can't be trusted.
    Unrecorded {
        /// The backend.
        backend: String,
        /// Runs without an identifier.
        runs: u64,
    },
}

impl fmt::Display for Finding {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Broken(Failure { id, reason, source }) => {
                write!(formatter, "broken: {id} from {source}: {reason}")
            }
            Self::Crossed(Failure { id, reason, source }) => {
                write!(formatter, "crossed: {id} from {source}: {reason}")
            }
            Self::WrongService { backend, detail } => {
                write!(formatter, "wrong service on {backend}: {detail}")
            }
            Self::Doubled { id, runs } => write!(formatter, "doubled: {id} ran {runs} times"),
            Self::FalselyNotRun { id } => write!(formatter, "falsely \"not run\": {id} ran"),
            Self::Unrecorded { backend, runs } => {
                write!(formatter, "unrecorded: {runs} runs on {backend}")
            }
        }
    }
}

/// The totals and the findings.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Verdict {
    /// Requests begun.
    pub sent: u64,
    /// Requests with their whole answer.
    pub answered: u64,
    /// Requests refused, by the load balancer or by a backend.
    pub refused: u64,
    /// Requests without a whole answer.
    pub broken: u64,
    /// Requests with another's answer.
    pub crossed: u64,
    /// Wrong-service events of all backends.
    pub wrong_service: u64,
    /// Requests that ran more than once.
    pub doubled: u64,
    /// Everything that must not happen, as far as the reports have details.
    pub findings: Vec<Finding>,
}

impl Verdict {
    /// Joins the reports.
    #[must_use]
    pub fn new(callers: &[CallerReport], backends: &[BackendReport]) -> Self {
        let mut verdict = Self::default();
        let runs = total_runs(backends);
        for report in callers {
            verdict.add_caller(report);
            verdict.add_false_refusals(report, &runs);
        }
        for report in backends {
            verdict.add_backend(report);
        }
        verdict.add_doubled(&runs);
        verdict
    }

    /// Whether nothing went wrong and every request has its outcome.
    #[must_use]
    pub fn is_passed(&self) -> bool {
        let is_complete = self.sent == self.answered + self.refused;
        let failures = self.broken + self.crossed + self.wrong_service + self.doubled;
        is_complete && failures == 0 && self.findings.is_empty()
    }

    /// The findings, at most `limit` of each kind, and how many more there are.
    #[must_use]
    pub fn findings_text(&self, limit: usize) -> Vec<String> {
        let mut shown = BTreeMap::new();
        let mut lines = Vec::new();
        let mut hidden = 0_u64;
        for finding in &self.findings {
            let count: &mut usize = shown.entry(finding.rank()).or_default();
            if *count < limit {
                *count += 1;
                lines.push(finding.to_string());
            } else {
                hidden += 1;
            }
        }
        if hidden > 0 {
            lines.push(format!("and {hidden} more findings"));
        }
        lines
    }

    fn add_caller(&mut self, report: &CallerReport) {
        let counts = report.counts;
        self.sent += counts.sent;
        self.answered += counts.answered;
        self.refused += counts.refused + counts.shed;
        self.broken += counts.broken;
        self.crossed += counts.crossed;
        let broken = report.broken.iter().cloned().map(Finding::Broken);
        let crossed = report.crossed.iter().cloned().map(Finding::Crossed);
        self.findings.extend(broken.chain(crossed));
    }

    fn add_false_refusals(&mut self, report: &CallerReport, runs: &BTreeMap<&str, u64>) {
        let told_not_run = report.refused.iter().chain(&report.shed);
        let ran = told_not_run.filter(|id| runs.contains_key(id.as_str()));
        let findings = ran.map(|id| Finding::FalselyNotRun { id: id.clone() });
        self.findings.extend(findings);
    }

    fn add_backend(&mut self, report: &BackendReport) {
        self.wrong_service += report.wrong_service;
        let details = report.wrong_service_details.iter();
        self.findings
            .extend(details.map(|detail| Finding::WrongService {
                backend: report.name.clone(),
                detail: detail.clone(),
            }));
        if report.runs_unrecorded > 0 {
            self.findings.push(Finding::Unrecorded {
                backend: report.name.clone(),
                runs: report.runs_unrecorded,
            });
        }
    }

    fn add_doubled(&mut self, runs: &BTreeMap<&str, u64>) {
        let doubled = runs.iter().filter(|(_, count)| **count > 1);
        for (id, count) in doubled {
            self.doubled += 1;
            self.findings.push(Finding::Doubled {
                id: (*id).to_owned(),
                runs: *count,
            });
        }
    }
}

impl Finding {
    fn rank(&self) -> u8 {
        match self {
            Self::Broken(_) => 0,
            Self::Crossed(_) => 1,
            Self::WrongService { .. } => 2,
            Self::Doubled { .. } => 3,
            Self::FalselyNotRun { .. } => 4,
            Self::Unrecorded { .. } => 5,
        }
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            sent,
            answered,
            refused,
            broken,
            crossed,
            wrong_service,
            doubled,
            findings: _,
        } = self;
        write!(
            formatter,
            "demo: sent={sent} answered={answered} refused={refused} broken={broken} \
             crossed={crossed} wrong_service={wrong_service} doubled={doubled}"
        )
    }
}

fn total_runs(backends: &[BackendReport]) -> BTreeMap<&str, u64> {
    let mut total = BTreeMap::new();
    let runs = backends.iter().flat_map(|report| &report.runs);
    for (id, count) in runs {
        *total.entry(id.as_str()).or_default() += count;
    }
    total
}
