//! Entry point of the balancer daemon.

use bellyoke_balancer::process::daemon::run_daemon;
use bellyoke_balancer::process::settings::{
    CommandLine, USAGE, flag_list, load_settings, parse_command_line,
};
use bellyoke_process::log::start_log;
use std::process::ExitCode;

/// Exit status of refused settings: the thousands of their result codes.
const REFUSED: u8 = 1;

/// Exit status of a daemon that failed.
const FAILED: u8 = 70;

fn main() -> ExitCode {
    let command_line = match parse_command_line(std::env::args_os().skip(1)) {
        Ok(command_line) => command_line,
        Err(problems) => return refuse(&problems),
    };
    match command_line {
        CommandLine::Help => {
            println!("{USAGE}{}", flag_list());
            ExitCode::SUCCESS
        }
        CommandLine::Version => {
            println!("bellyoke-balancer {}", env!("CARGO_PKG_VERSION"));
            ExitCode::SUCCESS
        }
        CommandLine::Run {
            config,
            overrides,
            check_only,
        } => match load_settings(config.as_deref(), &overrides) {
            Err(problems) => refuse(&problems),
            Ok(_) if check_only => {
                println!("the settings are good");
                ExitCode::SUCCESS
            }
            Ok(loaded) => {
                start_log(&loaded.settings.log);
                match run_daemon(loaded.settings, loaded.keys) {
                    Ok(()) => ExitCode::SUCCESS,
                    Err(error) => {
                        eprintln!("bellyoke-balancer: {error:#}");
                        ExitCode::from(FAILED)
                    }
                }
            }
        },
    }
}

fn refuse(problems: &dyn std::fmt::Display) -> ExitCode {
    eprintln!("bellyoke-balancer: {problems}");
    ExitCode::from(REFUSED)
}
