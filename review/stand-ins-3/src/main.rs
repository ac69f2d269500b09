//! The scripts of the review. `review-stand-ins-3 CASE RECORD` plays one case in the project's root
//! and writes what was sent, answered and run to the file RECORD. It exits with 1 if the rule was
//! broken, 0 if it held, and 2 if the case couldn't run. With `TROUBLE=0` in its environment it does
//! the same without the disruption.

mod cold_restart;
mod crashing_request;
mod early_answer;
mod fleet;
mod held_order;
mod http;
mod max_attempts;
mod platform;
mod proxy;
mod record;

use {record::Record, std::process::ExitCode};

/// Whether the rule of a case held.
pub enum Verdict {
    Held,
    Broken,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, record] = &arguments[..] else {
        eprintln!("usage: review-stand-ins-3 CASE RECORD");
        return ExitCode::from(2);
    };
    let play = match case.as_str() {
        "cold-restart" => cold_restart::play,
        "crashing-request" => crashing_request::play,
        "early-answer" => early_answer::play,
        "max-attempts" => max_attempts::play,
        "held-order" => held_order::play,
        _ => {
            eprintln!("no case {case}");
            return ExitCode::from(2);
        }
    };
    let root = std::env::current_dir().expect("a current folder");
    let trouble = std::env::var("TROUBLE").map_or(true, |text| text != "0");
    let mut record = Record::create(record);
    record.line(format!("case {case}, trouble {trouble}"));
    // A failure to play the case is a panic, which also ends all processes.
    let played = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
        play(&root, trouble, &mut record)
    }));
    let (text, status) = match played {
        Ok(Verdict::Held) => ("the rule held", 0),
        Ok(Verdict::Broken) => ("the rule was broken", 1),
        Err(_) => ("the case couldn't run", 2),
    };
    record.line(text.to_owned());
    ExitCode::from(status)
}
