#!/usr/bin/env bash
# Builds the stand-in that the script cases start. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-standin ./review/standin
