#!/usr/bin/env bash
# The store does one heartbeat of a runner late, after the runner has left the list.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves
# the disruption out. Needs the build of the deploy file and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/fulmardeal ] || [ ! -x target/review/play ] || [ ! -x target/review/runner ]; then
  echo "not built" >&2
  exit 2
fi
args=(-record review/5/record.txt)
if [ "${TROUBLE:-1}" = 0 ]; then
  args+=(-trouble=false)
fi
exec target/review/play "${args[@]}" late
