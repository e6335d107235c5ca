//! Reads the settings file and the key files it names.

use super::descriptor::SCHEMA;
use super::typed::Settings;
use super::{Override, Problem, Problems, checked_table};
use crate::packet::{ClusterKeys, KeyError, read_secret};
use bellyoke_api::result_code::ResultCode;
use bellyoke_process::settings::{into_typed, read_file};
use std::path::Path;
use toml::{Table, Value};

/// Settings and the keys that they name.
pub struct LoadedSettings {
    /// The settings.
    pub settings: Settings,
    /// Keys of the peer messages.
    pub keys: ClusterKeys,
}

/// Reads and checks everything that the process starts from. Without a file, all comes from
/// the flags.
///
/// # Errors
///
/// All problems at once, those of the key files included.
pub fn load_settings(
    path: Option<&Path>,
    overrides: &[Override],
) -> Result<LoadedSettings, Problems> {
    let text = path.map_or(Ok(String::new()), read_file)?;
    let (table, mut problems) = checked_table(&text, overrides)?;
    let secrets = read_secrets(&table, &mut problems);
    match secrets.split_first() {
        Some((first, others)) if problems.is_empty() => Ok(LoadedSettings {
            settings: into_typed(&SCHEMA, table)?,
            keys: ClusterKeys::derive(first, others),
        }),
        _ => Err(Problems(problems)),
    }
}

/// The secrets of all key files that can be read.
fn read_secrets(table: &Table, problems: &mut Vec<Problem>) -> Vec<Vec<u8>> {
    let cluster = table.get("cluster");
    let paths = cluster.and_then(|cluster| cluster.get("key_files"));
    let paths = paths.and_then(Value::as_array).into_iter().flatten();
    let mut secrets = Vec::new();
    for path in paths.filter_map(Value::as_str) {
        match read_secret(Path::new(path)) {
            Ok(secret) => secrets.push(secret),
            Err(error) => problems.push(key_problem(&error)),
        }
    }
    secrets
}

fn key_problem(error: &KeyError) -> Problem {
    let (code, allowed) = match error {
        KeyError::Unreadable { .. } => (ResultCode::SettingsUnreadable, "a readable file"),
        KeyError::Length { .. } => (ResultCode::WeakKey, "a file of 32 to 4096 bytes"),
    };
    Problem {
        code,
        key: "cluster.key_files".to_owned(),
        value: error.to_string(),
        allowed: allowed.to_owned(),
    }
}
