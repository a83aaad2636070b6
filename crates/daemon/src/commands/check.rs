//! `runloom check`: validates settings files.

use crate::settings;
use std::path::PathBuf;

/// Prints for each file that it is valid, or its faults, one per line. Returns whether all files are valid.
#[must_use]
pub fn check(files: &[PathBuf]) -> bool {
    let mut all_valid = true;
    for file in files {
        match settings::read(file) {
            Ok(_) => println!("{}: valid", file.display()),
            Err(faults) => {
                all_valid = false;
                println!("{faults}");
            }
        }
    }
    all_valid
}
