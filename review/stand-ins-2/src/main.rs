//! Runs one case of the second review: `review-2 CASE FOLDER`. Exits with 1 if the rule was broken, 0 if it held, and 2
//! if the case could not run. With `TROUBLE=0` the disruption is left out.

mod candidate;
mod costly;
mod fleet;
mod http;
mod overrides;
mod process;
mod record;
mod repeated;
mod stopped;

use record::Record;
use std::path::PathBuf;
use std::process::ExitCode;

/// The result of a case that ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    Held,
    Broken,
}

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (arguments.next(), arguments.next()) else { return ExitCode::from(2) };
    let Ok(record) = Record::create(&PathBuf::from(folder)) else { return ExitCode::from(2) };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    record.say(&format!("case {case}, {} the disruption", if trouble { "with" } else { "without" }));
    let result = match case.as_str() {
        "costly" => costly::run(&record, trouble),
        "candidate" => candidate::run(&record, trouble),
        "overrides" => overrides::run(&record, trouble),
        "repeated" => repeated::run(&record, trouble),
        "stopped" => stopped::run(&record, trouble),
        other => Err(format!("there is no case {other}")),
    };
    match result {
        Ok(Verdict::Held) => {
            record.say("the rule held");
            ExitCode::SUCCESS
        }
        Ok(Verdict::Broken) => {
            record.say("THE RULE WAS BROKEN");
            ExitCode::from(1)
        }
        Err(why) => {
            record.say(&format!("the case could not run: {why}"));
            ExitCode::from(2)
        }
    }
}
