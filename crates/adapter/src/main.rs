//! Reads batches of events on standard input and answers each on standard output.
//!
//! A malformed line, or input that ends inside a batch, is reported in one line on standard error and ends the program
//! with exit code 2; the end of input between batches ends it with 0.

mod batch;
mod host;
mod translate;
mod wire;

use std::process::ExitCode;

/// Exit code after an error.
const FAILURE: u8 = 2;

fn main() -> ExitCode {
    match batch::run(std::io::stdin().lock(), std::io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("runloom-adapter: {error}");
            ExitCode::from(FAILURE)
        }
    }
}
