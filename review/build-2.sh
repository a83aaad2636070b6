#!/usr/bin/env bash
# Builds the stand-ins of the cases review/6 to review/10, after the build of the deploy file.
#
# They use the versions of the root's Cargo.lock: cargo reduces a copy of it to their dependencies.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked -p runloom-testbed
cp Cargo.lock review/stand-ins-2/Cargo.lock
# Without a network: everything that they depend on was fetched for the builds before.
cargo build --release --offline --manifest-path review/stand-ins-2/Cargo.toml --target-dir target/review-2
