#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/11 to review/15, without a network.
set -euo pipefail
cd "$(dirname "$0")/stand-ins-3"
cargo build --release --locked --offline --quiet
