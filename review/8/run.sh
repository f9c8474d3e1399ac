#!/usr/bin/env bash
# Exits with 1 if the rule of claim.txt was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-2 -case silence -record review/8/record.txt
