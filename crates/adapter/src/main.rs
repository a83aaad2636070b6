//! Connects planners to the simulator: reads batches of events from standard input, and writes a reply to each batch to
//! standard output.
//!
//! Exits with code 0 if the input ends between batches. A malformed line, or input that ends inside a batch, is
//! reported in one line on standard error, and the exit code is 2.

mod batch;
mod host;
mod translate;
mod wire;

use std::process::ExitCode;

/// Exit code after an error.
const EXIT_FAILURE: u8 = 2;

fn main() -> ExitCode {
    match batch::run(std::io::stdin().lock(), std::io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("runloom-adapter: {error}");
            ExitCode::from(EXIT_FAILURE)
        }
    }
}
