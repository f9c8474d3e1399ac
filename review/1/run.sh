#!/usr/bin/env bash
# Starts the deployment of the case and exits with 1 if the rule was broken, 0 if it held
# and 2 if the case couldn't run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-rig ] || { echo "run review/build.sh first" >&2; exit 2; }
exec target/review-rig truncated review/1/record.txt
