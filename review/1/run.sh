#!/usr/bin/env bash
# A part of a prompt crashes each runner that begins to answer it; runners answer without a length or chunks.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves
# the disruption out. Needs the build of the deploy file and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/fulmardeal ] || [ ! -x target/review/play ] || [ ! -x target/review/runner ]; then
  echo "not built" >&2
  exit 2
fi
args=(-record review/1/record.txt)
if [ "${TROUBLE:-1}" = 0 ]; then
  args+=(-trouble=false)
fi
if [ "${CHUNKED:-0}" = 1 ]; then
  args+=(-chunked) # the runners answer in chunks instead
fi
if [ -n "${PARTS:-}" ]; then
  args+=(-parts "$PARTS") # so many further parts that all prompts share
fi
exec target/review/play "${args[@]}" poison
