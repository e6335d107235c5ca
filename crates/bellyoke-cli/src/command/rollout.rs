//! `rollout status`: whether the objects in the store are in force on all balancers.

use crate::arguments::{Options, RolloutOptions};
use crate::balancer::BalancerClient;
use crate::failure::Failure;
use crate::output::{Report, Table};
use crate::plan::is_published;
use crate::session::Session;
use bellyoke_api::result_code::ResultCode;
use bellyoke_api::status::NodeStatus;
use serde::Serialize;
use std::time::Duration;
use tokio::time::Instant;

const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// How far a change has come.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct RolloutView {
    /// Generation that holds all accepted objects; none while it isn't published.
    pub required: Option<u64>,
    /// Generation that the asked balancer forwards by.
    pub generation: u64,
    /// Newest generation that all members have acknowledged.
    pub barrier: u64,
    /// Members that haven't acknowledged the required generation.
    pub behind: Vec<String>,
    /// Backends that only keep their flows, and the services that they drain from.
    pub draining: Vec<DrainingBackend>,
}

/// A backend that drains.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct DrainingBackend {
    /// Its name.
    pub name: String,
    /// The service.
    pub service: String,
    /// Its flows on the asked balancer.
    pub flows: u64,
}

impl RolloutView {
    /// The view of a balancer of the required generation.
    #[must_use]
    pub fn new(required: Option<u64>, status: &NodeStatus) -> Self {
        let wanted = required.unwrap_or(u64::MAX);
        let behind = status.members.iter();
        let behind = behind.filter(|member| member.acknowledged < wanted);
        let draining = status.backends.iter();
        let draining = draining.filter(|backend| backend.state == "draining");
        Self {
            required,
            generation: status.generation,
            barrier: status.barrier,
            behind: behind
                .map(|member| format!("{:016x}", member.node))
                .collect(),
            draining: draining
                .map(|backend| DrainingBackend {
                    name: backend.name.clone(),
                    service: backend.service.clone().unwrap_or_else(|| "-".to_owned()),
                    flows: backend.flows,
                })
                .collect(),
        }
    }

    /// Whether all accepted objects are in force on all balancers.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.required
            .is_some_and(|required| self.barrier >= required)
    }
}

pub(super) async fn run(options: &Options, rollout: RolloutOptions) -> Result<Report, Failure> {
    let balancer = BalancerClient::connect(options)?;
    let deadline = Instant::now() + rollout.timeout;
    let mut required = None;
    loop {
        let view = look(options, &balancer, &mut required).await;
        let expired = Instant::now() >= deadline;
        match view {
            Ok(view) if view.is_complete() => return Ok(rollout_report(&view)),
            Ok(view) if !rollout.wait || expired => return Err(incomplete(&view)),
            Err(failure) if !rollout.wait || expired => return Err(failure),
            Ok(_) | Err(_) => tokio::time::sleep(POLL_INTERVAL).await,
        }
    }
}

/// The required generation is kept once it is known: later ones, such as those that only
/// clean buckets, hold the same objects.
async fn look(
    options: &Options,
    balancer: &BalancerClient,
    required: &mut Option<u64>,
) -> Result<RolloutView, Failure> {
    let status = balancer.status().await?;
    if required.is_none() {
        *required = match &options.platform {
            Some(_) => published_number(options).await?,
            None => Some(status.generation),
        };
    }
    Ok(RolloutView::new(*required, &status))
}

/// Number of the published generation, if it holds all objects in the store.
async fn published_number(options: &Options) -> Result<Option<u64>, Failure> {
    let session = Session::connect(options)?;
    let objects = session.objects().await?;
    let Some(published) = session.published().await? else {
        return Ok(None);
    };
    let generation = &published.generation;
    let desired = objects.convert(Some(generation)).desired;
    Ok(is_published(generation, &desired).then_some(generation.number.0))
}

/// What `rollout status` prints.
#[must_use]
pub fn rollout_report(view: &RolloutView) -> Report {
    Report::new(rollout_text(view), view)
}

fn rollout_text(view: &RolloutView) -> String {
    let heading = match view.required {
        Some(required) if view.is_complete() => {
            format!("generation {required} is in force on all balancers\n")
        }
        Some(required) => format!(
            "generation {required} is published, all balancers have acknowledged {}; behind: {}\n",
            view.barrier,
            view.behind.join(", "),
        ),
        None => "the last change is not published yet\n".to_owned(),
    };
    if view.draining.is_empty() {
        return heading;
    }
    let mut table = Table::new(&["DRAINING", "FROM", "FLOWS ON THE ASKED BALANCER"]);
    for backend in &view.draining {
        table.push(vec![
            backend.name.clone(),
            backend.service.clone(),
            backend.flows.to_string(),
        ]);
    }
    format!("{heading}{table}")
}

fn incomplete(view: &RolloutView) -> Failure {
    let text = rollout_text(view);
    let first = text.lines().next().unwrap_or_default();
    Failure::new(ResultCode::RolloutTimeout, first)
}
