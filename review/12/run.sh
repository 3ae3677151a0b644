#!/usr/bin/env bash
# Plays the case. Needs the build of deploy/system.toml and review/build-3.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/fulmardeal ] && [ -x target/standin4 ] || { echo "not built"; exit 2; }
exec timeout --kill-after=5 115 target/standin4 long-prompts review/12/record.txt
