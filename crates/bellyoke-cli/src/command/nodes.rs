//! `nodes`: the balancers as one of them sees them.

use crate::arguments::Options;
use crate::balancer::BalancerClient;
use crate::failure::Failure;
use crate::output::{Report, Table};
use bellyoke_api::status::{MemberState, NodeStatus};

pub(super) async fn run(options: &Options) -> Result<Report, Failure> {
    let client = BalancerClient::connect(options)?;
    Ok(nodes_report(&client.status().await?))
}

/// The members that a balancer knows, one a row.
#[must_use]
pub fn nodes_report(status: &NodeStatus) -> Report {
    let lease = if status.lease_valid {
        "valid"
    } else {
        "lapsed"
    };
    let heading = format!(
        "asked node {:016x} in zone {}: generation {}, barrier {}, lease {lease}\n",
        status.node, status.zone, status.generation, status.barrier,
    );
    let mut table = Table::new(&["NODE", "ZONE", "PEER", "STATE", "ACKNOWLEDGED"]);
    for member in &status.members {
        table.push(vec![
            format!("{:016x}", member.node),
            member.zone.clone(),
            member.peer_address.clone(),
            state_name(member.state).to_owned(),
            member.acknowledged.to_string(),
        ]);
    }
    Report::new(format!("{heading}{table}"), status)
}

fn state_name(state: MemberState) -> &'static str {
    match state {
        MemberState::Alive => "alive",
        MemberState::Suspected => "suspected",
        MemberState::Failed => "failed",
        MemberState::Leaving => "leaving",
    }
}
