//! Stand-ins and cases of the review. `standin CASE FOLDER` plays a case and writes FOLDER/record.txt. It exits with 1
//! if the rule was broken, 0 if it held, and 2 if the case couldn't run. With TROUBLE=0 it plays no disruption.

mod cases;
mod client;
mod nodes;
mod packet;
mod record;
mod store;
mod target;
mod world;

use std::process::ExitCode;

/// What a case found.
pub enum Verdict {
    Held,
    Broken,
    /// The case couldn't run.
    Failed(String),
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &arguments[..] else {
        eprintln!("usage: standin CASE FOLDER");
        return ExitCode::from(2);
    };
    let temporary = std::env::temp_dir().join(format!("bellyoke-review-{}", std::process::id()));
    if std::fs::create_dir_all(&temporary).is_err() {
        return ExitCode::from(2);
    }
    let record = record::Record::create(&format!("{folder}/record.txt"));
    let played = std::panic::catch_unwind(|| {
        cases::play(case, record.clone(), &temporary.to_string_lossy())
    });
    if let Ok(kept) = std::env::var("KEEP_LOGS") {
        let _ = std::fs::create_dir_all(&kept);
        for entry in std::fs::read_dir(&temporary)
            .into_iter()
            .flatten()
            .flatten()
        {
            let _ = std::fs::copy(
                entry.path(),
                format!("{kept}/{}", entry.file_name().to_string_lossy()),
            );
        }
    }
    let _ = std::fs::remove_dir_all(&temporary);
    match played {
        Ok(Verdict::Held) => {
            record.say("held");
            ExitCode::SUCCESS
        }
        Ok(Verdict::Broken) => {
            record.say("BROKEN");
            ExitCode::from(1)
        }
        Ok(Verdict::Failed(why)) => {
            record.say(&format!("could not run: {why}"));
            ExitCode::from(2)
        }
        Err(_) => {
            record.say("could not run: the stand-in panicked");
            ExitCode::from(2)
        }
    }
}
