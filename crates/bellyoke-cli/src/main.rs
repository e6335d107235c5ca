//! The operators' program `bellyoke`.

use bellyoke_cli::arguments::{OutputFormat, parse};
use bellyoke_cli::command::run;
use bellyoke_cli::failure::Failure;
use bellyoke_cli::output::render_failure;
use std::io::Write;
use std::process::ExitCode;

fn main() -> anyhow::Result<ExitCode> {
    let arguments = match parse(std::env::args_os().skip(1)) {
        Ok(arguments) => arguments,
        Err(failure) => return fail(&failure, OutputFormat::Table),
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let format = arguments.options.output;
    match runtime.block_on(run(&arguments)) {
        Ok(report) => {
            std::io::stdout().write_all(report.render(format).as_bytes())?;
            Ok(ExitCode::SUCCESS)
        }
        Err(failure) => fail(&failure, format),
    }
}

fn fail(failure: &Failure, format: OutputFormat) -> anyhow::Result<ExitCode> {
    let text = render_failure(failure, format);
    std::io::stderr().write_all(text.as_bytes())?;
    Ok(ExitCode::from(failure.code.exit_status()))
}
