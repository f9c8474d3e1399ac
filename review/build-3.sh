#!/usr/bin/env bash
# Builds the stand-ins of cases 11 to 15 into target/review-3/. The programs of the project come
# from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-3/ ./review/rig3
