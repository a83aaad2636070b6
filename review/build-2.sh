#!/usr/bin/env bash
# Builds the stand-ins of the cases review/6 to review/10, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked -p runloom-testbed
cargo build --release --locked --manifest-path review/stand-ins-2/Cargo.toml --target-dir target/review-2
