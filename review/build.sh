#!/usr/bin/env bash
# Builds the stand-ins of the review's cases.
set -eu
cd "$(dirname "$0")/stand-ins"
cargo build --release --locked --offline --target-dir target
