#!/usr/bin/env bash
# Runs the case; TROUBLE=0 runs it without the releases. Writes record.txt.
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/hemlockspoold ] || exit 2
[ -x review/stand-ins/target/release/rolled ] || exit 2
exec review/stand-ins/target/release/rolled review/4/record.txt
