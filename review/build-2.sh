#!/usr/bin/env bash
# Builds the stand-ins and checks of the second review into target/release, beside hemlockspoold.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/stand-ins-2/Cargo.toml --target-dir target
