//! `runloom check`: validates settings files.

use crate::settings;
use std::path::PathBuf;

/// Prints for each file that it is valid, or its faults, a line each. Returns whether all are valid.
#[must_use]
pub fn check(files: &[PathBuf]) -> bool {
    let mut are_valid = true;
    for file in files {
        match settings::read(file) {
            Ok(_) => println!("{}: valid", file.display()),
            Err(faults) => {
                are_valid = false;
                println!("{faults}");
            }
        }
    }
    are_valid
}
