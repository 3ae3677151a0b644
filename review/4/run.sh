#!/usr/bin/env bash
# A loader's machine freezes between the check of the staged pieces and the order; a piece turns bad.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves
# the disruption out. Needs the build of the deploy file and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/fulmardeal ] || [ ! -x target/review/play ] || [ ! -x target/review/runner ]; then
  echo "not built" >&2
  exit 2
fi
args=(-record review/4/record.txt)
if [ "${TROUBLE:-1}" = 0 ]; then
  args+=(-trouble=false)
fi
exec target/review/play "${args[@]}" stagebad
