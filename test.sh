#!/usr/bin/env bash
# Runs every test of the project. Property tests set a fixed seed themselves, so that a run can be repeated.
# Tests listed in KNOWN-RED.txt are run apart: they are printed and do not fail the run.
set -euo pipefail
cd "$(dirname "$0")"

readonly LIMIT=40m

red=()
if [ -f KNOWN-RED.txt ]; then
  mapfile -t red < <(grep -v '^#' KNOWN-RED.txt | grep -v '^ *$' || true)
fi

skip=()
if [ "${#red[@]}" -gt 0 ]; then
  names=$(printf '%s\n' "${red[@]}" | awk '{print $2}' | paste -sd '|')
  skip=(-skip "^($names)\$")
fi

go test -count=1 -timeout "$LIMIT" "${skip[@]}" ./... "$@"

for entry in "${red[@]}"; do
  echo "known red: $entry"
  read -r package test _ <<<"$entry"
  if [[ $package == ./review/* ]]; then
    echo "not run here, a script beside the build of the deploy file: $package/$test"
    continue
  fi
  if go test -count=1 -timeout "$LIMIT" -run "^$test\$" "$package" "$@" 2>&1 | sed 's/^/  | /'; then
    echo "no longer red, take it off the list: $test"
  else
    echo "still red: $test"
  fi
done
