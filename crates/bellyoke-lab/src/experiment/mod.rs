//! Experiments: the product's core and its baselines in virtual time, under the same callers,
//! faults and seed, with a table, a JSON report and plots.

pub mod costs;
pub mod measure;
pub mod report;
pub mod settings;
pub mod strategy;
pub mod world;

use anyhow::{Context, Result, bail};
use costs::SizeCosts;
use measure::Measurements;
use report::{Report, RunReport};
use settings::{Experiment, Timeline};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::str::FromStr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Instant;
use strategy::StrategyName;
use world::World;

/// Virtual seconds between two progress lines.
const PROGRESS_SECONDS: u64 = 30;

/// What to run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExperimentCommand {
    /// The experiment file.
    pub file: PathBuf,
    /// Seed of everything by chance.
    pub seed: u64,
    /// Strategies to run.
    pub strategies: Vec<StrategyName>,
    /// Where the report and the plots go.
    pub output: Option<PathBuf>,
    /// The only timeline to run, if not all.
    pub timeline: Option<String>,
    /// Runs at once.
    pub threads: usize,
    /// Sizes of the cluster at which to measure costs, instead of a report.
    pub sizes: Vec<u32>,
}

impl ExperimentCommand {
    /// Reads the command from the arguments after `experiment`.
    ///
    /// # Errors
    ///
    /// If an argument is unknown, missing or malformed.
    pub fn parse(parser: &mut lexopt::Parser) -> Result<Self> {
        use lexopt::prelude::*;
        let mut file = None;
        let mut command = Self {
            file: PathBuf::new(),
            seed: 1,
            strategies: vec![StrategyName::Bellyoke],
            output: None,
            timeline: None,
            threads: std::thread::available_parallelism().map_or(1, usize::from),
            sizes: Vec::new(),
        };
        while let Some(argument) = parser.next()? {
            match argument {
                Long("seed") => command.seed = parser.value()?.parse()?,
                Long("strategy") => {
                    let name = parser.value()?.string()?;
                    command.strategies = vec![StrategyName::from_str(&name)?];
                }
                Long("compare") => command.strategies = StrategyName::ALL.to_vec(),
                Long("output") => command.output = Some(parser.value()?.into()),
                Long("timeline") => command.timeline = Some(parser.value()?.string()?),
                Long("threads") => command.threads = parser.value()?.parse()?,
                Long("sizes") => command.sizes = parse_sizes(&parser.value()?.string()?)?,
                Value(path) if file.is_none() => file = Some(PathBuf::from(path)),
                other => return Err(other.unexpected().into()),
            }
        }
        command.file = file.context("experiment needs a FILE.toml")?;
        Ok(command)
    }
}

/// Sizes that are separated by commas.
fn parse_sizes(text: &str) -> Result<Vec<u32>> {
    let sizes = text.split(',').map(|size| {
        size.parse::<u32>()
            .with_context(|| format!("--sizes: {size:?} is no number of balancers"))
    });
    sizes.collect()
}

/// Runs the command in `arguments` and prints its table.
///
/// # Errors
///
/// If an argument or the file is wrong, or the report can't be written.
pub fn run(mut arguments: lexopt::Parser) -> Result<ExitCode> {
    let command = ExperimentCommand::parse(&mut arguments)?;
    let experiment = settings::load(&command.file)?;
    if !command.sizes.is_empty() {
        let sizes = measure_costs(&experiment, &command)?;
        print!("{}", costs::render_slopes(&sizes));
        return Ok(ExitCode::SUCCESS);
    }
    let report = run_experiment(&experiment, &command)?;
    print!("{}", report::render(&report));
    Ok(ExitCode::SUCCESS)
}

/// Measures the product's costs at each wanted size, one after the other.
///
/// # Errors
///
/// If no timeline has the wanted name.
pub fn measure_costs(
    experiment: &Experiment,
    command: &ExperimentCommand,
) -> Result<Vec<SizeCosts>> {
    let timelines = wanted_timelines(experiment, command)?;
    let sizes = command.sizes.iter();
    Ok(sizes
        .map(|size| measure_size(experiment, timelines[0], *size, command.seed))
        .collect())
}

fn measure_size(
    experiment: &Experiment,
    timeline: &Timeline,
    balancers: u32,
    seed: u64,
) -> SizeCosts {
    let mut experiment = experiment.clone();
    experiment.cluster.balancers = balancers;
    let started = Instant::now();
    let strategy = StrategyName::Bellyoke.create(&experiment, seed);
    let world = World::new(&experiment, timeline, strategy, seed);
    let measured = world.run(&mut |second| {
        if second.is_multiple_of(PROGRESS_SECONDS) {
            eprintln!("{balancers} balancers: {second} s");
        }
    });
    SizeCosts {
        balancers,
        seconds: f64::from(experiment.duration_seconds - experiment.warm_up_seconds),
        time_to_force_p99_ms: measured.time_to_force.value_at_quantile(0.99) as f64 / 1_000.0,
        forced: measured.time_to_force.len(),
        costs: measured.costs,
        resident_bytes: measured.resident_bytes,
        wall_seconds: started.elapsed().as_secs_f64(),
    }
}

fn wanted_timelines<'a>(
    experiment: &'a Experiment,
    command: &ExperimentCommand,
) -> Result<Vec<&'a Timeline>> {
    let wanted: Vec<&Timeline> = experiment
        .timelines
        .iter()
        .filter(|timeline| {
            let name = command.timeline.as_ref();
            name.is_none_or(|name| *name == timeline.name)
        })
        .collect();
    if wanted.is_empty() {
        bail!("no timeline of {} is to be run", experiment.name);
    }
    Ok(wanted)
}

/// Runs an experiment; the report depends on nothing but the experiment, the strategies
/// and the seed.
///
/// # Errors
///
/// If no timeline has the wanted name or a file can't be written.
pub fn run_experiment(experiment: &Experiment, command: &ExperimentCommand) -> Result<Report> {
    let timelines = wanted_timelines(experiment, command)?;
    if let Some(directory) = &command.output {
        std::fs::create_dir_all(directory)
            .with_context(|| format!("cannot create {}", directory.display()))?;
    }
    let jobs: Vec<Job<'_>> = timelines
        .iter()
        .flat_map(|timeline| {
            command.strategies.iter().map(|strategy| Job {
                timeline,
                strategy: *strategy,
            })
        })
        .collect();
    let runs = run_jobs(experiment, command, &jobs)?;
    let report = Report {
        experiment: experiment.name.clone(),
        seed: command.seed,
        runs,
    };
    if let Some(directory) = &command.output {
        write_report(directory, &report)?;
    }
    Ok(report)
}

struct Job<'a> {
    timeline: &'a Timeline,
    strategy: StrategyName,
}

/// Runs side by side; the results stand in the order of the jobs.
fn run_jobs(
    experiment: &Experiment,
    command: &ExperimentCommand,
    jobs: &[Job<'_>],
) -> Result<Vec<RunReport>> {
    let next = AtomicUsize::new(0);
    let results: Mutex<Vec<(usize, Result<RunReport>)>> = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..command.threads.clamp(1, jobs.len()) {
            scope.spawn(|| {
                loop {
                    let index = next.fetch_add(1, Ordering::Relaxed);
                    let Some(job) = jobs.get(index) else {
                        return;
                    };
                    let result = run_job(experiment, command, job);
                    if let Ok(mut results) = results.lock() {
                        results.push((index, result));
                    }
                }
            });
        }
    });
    let mut results = results.into_inner().unwrap_or_default();
    results.sort_by_key(|(index, _)| *index);
    results.into_iter().map(|(_, result)| result).collect()
}

fn run_job(
    experiment: &Experiment,
    command: &ExperimentCommand,
    job: &Job<'_>,
) -> Result<RunReport> {
    let name = job.strategy.to_string();
    let strategy = job.strategy.create(experiment, command.seed);
    let world = World::new(experiment, job.timeline, strategy, command.seed);
    let measured: Measurements = world.run(&mut |second| {
        if second.is_multiple_of(PROGRESS_SECONDS) {
            eprintln!("{}: {name}: {second} s", job.timeline.name);
        }
    });
    if let Some(directory) = &command.output {
        let plot_name = format!("{}-{name}", job.timeline.name);
        report::write_plots(directory, &plot_name, &measured)?;
    }
    Ok(RunReport::new(
        &name,
        &job.timeline.name,
        job.timeline.planned,
        &measured,
    ))
}

fn write_report(directory: &Path, report: &Report) -> Result<()> {
    let path = directory.join("report.json");
    let mut text = serde_json::to_string_pretty(report)?;
    text.push('\n');
    std::fs::write(&path, text).with_context(|| format!("cannot write {}", path.display()))
}
