#!/usr/bin/env bash
# Builds the program that plays the scripts of the second review, with its replicas and callers.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-2 ./review/rig2
