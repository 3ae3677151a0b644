#!/usr/bin/env bash
# Builds the stand-ins of the second review's cases into target/.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/ ./review/standin2 ./review/standin3
