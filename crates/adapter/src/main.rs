//! Reads batches of events on standard input and answers each on standard output.
//!
//! A malformed line, or input that ends inside a batch, is told in one line on standard error and
//! ends the program with exit code 2; the end of input between batches ends it with 0.

mod host;
mod wire;

use std::io::{BufRead, BufWriter, Write};
use std::process::ExitCode;
use std::time::Duration;

fn run(input: impl BufRead, output: impl Write) -> Result<(), String> {
    let mut output = BufWriter::new(output);
    let mut hosted = host::Hosted::default();
    let mut clock: Option<Duration> = None;
    for (number, line) in input.lines().enumerate() {
        let at = number + 1;
        let line = line.map_err(|e| format!("line {at}: cannot be read: {e}"))?;
        if line.trim().is_empty() {
            continue;
        }
        let event: wire::In =
            serde_json::from_str(&line).map_err(|e| format!("line {at}: malformed: {e}"))?;
        match (event, clock) {
            (wire::In::Frame { clock_s }, None) => {
                let now = Duration::try_from_secs_f64(clock_s)
                    .map_err(|e| format!("line {at}: the clock is no time: {e}"))?;
                clock = Some(now);
            }
            (wire::In::Frame { .. }, Some(_)) => {
                return Err(format!("line {at}: a batch begins inside a batch"))
            }
            (_, None) => return Err(format!("line {at}: an event outside a batch")),
            (wire::In::Commit, Some(now)) => {
                for out in hosted.reply(now) {
                    serde_json::to_writer(&mut output, &out).map_err(|e| format!("cannot reply: {e}"))?;
                    output.write_all(b"\n").map_err(|e| format!("cannot reply: {e}"))?;
                }
                output.flush().map_err(|e| format!("cannot reply: {e}"))?;
                clock = None;
            }
            (wire::In::Unknown, _) => {
                eprintln!("runloom-adapter: line {at}: ignored an unknown kind of event")
            }
            (event, _) => hosted.take(event),
        }
    }
    match clock {
        Some(_) => Err("the input ends inside a batch".into()),
        None => Ok(()),
    }
}

fn main() -> ExitCode {
    match run(std::io::stdin().lock(), std::io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("runloom-adapter: {why}");
            ExitCode::from(2)
        }
    }
}

#[cfg(test)]
mod tests {
    use super::run;

    #[test]
    fn an_empty_batch_gets_an_empty_reply() {
        let mut out = Vec::new();
        let input = "{\"verb\":\"FRAME\",\"clockS\":8.4}\n{\"verb\":\"COMMIT\"}\n";
        assert_eq!(run(input.as_bytes(), &mut out), Ok(()));
        assert_eq!(out, b"{\"verb\":\"NEXT\"}\n");
    }

    #[test]
    fn input_that_ends_inside_a_batch_is_an_error() {
        let ended = run("{\"verb\":\"FRAME\",\"clockS\":1}\n".as_bytes(), Vec::new());
        assert_eq!(ended, Err("the input ends inside a batch".into()));
    }

    #[test]
    fn a_malformed_line_is_told_with_its_number() {
        let told = run("{\"verb\":\"FRAME\",\"clockS\":1}\nnonsense\n".as_bytes(), Vec::new());
        assert!(told.is_err_and(|why| why.starts_with("line 2: malformed")));
    }

    #[test]
    fn an_unknown_kind_is_passed_over() {
        let input = "{\"verb\":\"FRAME\",\"clockS\":1}\n{\"verb\":\"NEW\",\"x\":1}\n{\"verb\":\"COMMIT\"}\n";
        assert_eq!(run(input.as_bytes(), Vec::new()), Ok(()));
    }
}
