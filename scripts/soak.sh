#!/usr/bin/env bash
# Runs random traffic with random faults against real processes on loopback.
# SEED selects the schedule of faults, MINUTES sets how long faults are injected.
# The run prints the seed, the schedule and the verdict.
set -euo pipefail
cd "$(dirname "$0")/.."
SEED=${SEED:-1}
MINUTES=${MINUTES:-1}
# Setting up, draining and the checks at the end take less than 4 minutes.
LIMIT=$(awk -v m="$MINUTES" 'BEGIN { printf "%d", m * 60 + 240 }')
SEED=$SEED MINUTES=$MINUTES go test ./internal/soak -run 'TestSoak$' -count=1 -v -timeout "${LIMIT}s"
