//! Checks between values that are each right alone. Values that are missing or wrong
//! alone are left out, so that all other problems show in the same go.

use super::Problem;
use bellyoke_api::result_code::ResultCode;
use std::net::SocketAddr;
use toml::{Table, Value};

/// Addresses of which no two may be equal.
const DISTINCT_ADDRESSES: [(&str, &str); 4] = [
    ("node", "data_address"),
    ("node", "peer_address"),
    ("node", "api_address"),
    ("fabric", "address"),
];

/// All contradictions between values of `table`, which has its defaults filled in.
#[must_use]
pub fn find_clashes(table: &Table) -> Vec<Problem> {
    let mut problems = address_clashes(table);
    problems.extend(family_clashes(table));
    problems.extend(timing_clashes(table));
    problems.extend(source_clashes(table));
    problems
}

fn value<'a>(table: &'a Table, section: &str, name: &str) -> Option<&'a Value> {
    table.get(section)?.get(name)
}

fn address(table: &Table, section: &str, name: &str) -> Option<SocketAddr> {
    value(table, section, name)?.as_str()?.parse().ok()
}

fn milliseconds(table: &Table, name: &str) -> Option<i64> {
    value(table, "timing", name)?.as_integer()
}

fn peers(table: &Table) -> Vec<SocketAddr> {
    let peers = value(table, "cluster", "peers").and_then(Value::as_array);
    let texts = peers.into_iter().flatten().filter_map(Value::as_str);
    texts.filter_map(|text| text.parse().ok()).collect()
}

fn address_clashes(table: &Table) -> Vec<Problem> {
    let mut problems = Vec::new();
    let mut used: Vec<(String, SocketAddr)> = Vec::new();
    for (section, name) in DISTINCT_ADDRESSES {
        let Some(found) = address(table, section, name) else {
            continue;
        };
        let key = format!("{section}.{name}");
        if let Some((other, _)) = used.iter().find(|(_, other)| *other == found) {
            problems.push(Problem {
                code: ResultCode::AddressClash,
                key: key.clone(),
                value: found.to_string(),
                allowed: format!("an address other than that of {other}"),
            });
        }
        used.push((key, found));
    }
    problems
}

/// A socket sends only to addresses of its own family.
fn family_clashes(table: &Table) -> Vec<Problem> {
    let mut problems = Vec::new();
    let mut compare = |key: &str, found: SocketAddr, other: &str, base: SocketAddr| {
        if found.is_ipv4() != base.is_ipv4() {
            problems.push(Problem {
                code: ResultCode::ValueClash,
                key: key.to_owned(),
                value: found.to_string(),
                allowed: format!("an address of the family of {other} = {base}"),
            });
        }
    };
    let data = address(table, "node", "data_address");
    if let (Some(data), Some(fabric)) = (data, address(table, "fabric", "address")) {
        compare("fabric.address", fabric, "node.data_address", data);
    }
    if let Some(own) = address(table, "node", "peer_address") {
        for peer in peers(table) {
            compare("cluster.peers", peer, "node.peer_address", own);
        }
    }
    problems
}

fn timing_clashes(table: &Table) -> Vec<Problem> {
    let mut problems = Vec::new();
    let Some(lease) = milliseconds(table, "lease_ms") else {
        return problems;
    };
    let mut limit = |name: &str, most: i64, words: &str| {
        let found = milliseconds(table, name).filter(|found| *found > most);
        if let Some(found) = found {
            problems.push(Problem {
                code: ResultCode::ValueClash,
                key: format!("timing.{name}"),
                value: found.to_string(),
                allowed: format!("{words} timing.lease_ms = {lease}"),
            });
        }
    };
    limit("lease_margin_ms", lease / 2, "at most half of");
    limit("probe_ms", lease - 1, "less than");
    problems
}

/// A node needs somewhere to get its first generation from.
fn source_clashes(table: &Table) -> Vec<Problem> {
    if value(table, "platform", "url").is_some() {
        return Vec::new();
    }
    let reader = value(table, "platform", "reader").and_then(Value::as_bool);
    let own = address(table, "node", "peer_address");
    let has_peer = peers(table).into_iter().any(|peer| Some(peer) != own);
    let problem = match (reader, has_peer) {
        (Some(true), _) => Problem {
            code: ResultCode::MissingKey,
            key: "platform.url".to_owned(),
            value: "nothing".to_owned(),
            allowed: "the store's URL, since platform.reader = true".to_owned(),
        },
        (Some(false), false) => Problem {
            code: ResultCode::MissingKey,
            key: "cluster.peers".to_owned(),
            value: "no other node".to_owned(),
            allowed: "a peer, or platform.url to find peers by".to_owned(),
        },
        _ => return Vec::new(),
    };
    vec![problem]
}
