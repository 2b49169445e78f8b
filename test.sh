#!/usr/bin/env bash
# Runs every test of the project. Property tests set a fixed seed themselves, so that a run can be repeated.
set -euo pipefail
cd "$(dirname "$0")"
go test -count=1 ./... "$@"
