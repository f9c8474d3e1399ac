#!/usr/bin/env bash
# Runs random traffic with random faults against real processes on loopback: entry and
# state processes first, then gateways and control processes with the users' protocol.
# SEED selects the schedule of faults, MINUTES sets how long faults are injected.
# The run prints the seed, the schedule and the verdict.
set -euo pipefail
cd "$(dirname "$0")/.."
SEED=${SEED:-1}
MINUTES=${MINUTES:-1}
# Setting up, draining and the checks at the end take less than 4 minutes.
LIMIT=$(awk -v m="$MINUTES" 'BEGIN { printf "%d", m * 60 + 240 }')
failed=0
for soak in './internal/soak -run TestSoak$' './platform -run TestSoakOfProcesses$'; do
  # shellcheck disable=SC2086 # package and test are separate words
  SEED=$SEED MINUTES=$MINUTES go test $soak -count=1 -v -timeout "${LIMIT}s" || failed=1
done
exit "$failed"
