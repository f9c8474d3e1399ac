#!/usr/bin/env bash
# Starts a cluster on loopback, sends a short prompt, a long one and one call that
# must run at most once, prints the results and stops all processes. HOLD=1 leaves
# the cluster running until the script is interrupted.
set -euo pipefail
cd "$(dirname "$0")/.."
TIME_SCALE=${TIME_SCALE:-0.2}
source scripts/setup.sh
DIR=$(mktemp -d)
cleanup() { stop_all; rm -rf "$DIR"; }
trap cleanup EXIT
find_base
write_all
start_all

callers=$(quoted_addresses $((BASE + 100)) "${#ENTRY_IDS[@]}")

# apply proposes the manifest. It retries for up to 20 s, because the state processes
# must first elect a leader.
apply() {
  local end=$((SECONDS + 20))
  while [ "$SECONDS" -lt "$end" ]; do
    if bin/bilberryctl -config "$DIR/ctl.json" apply "$DIR/manifest.json" > "$DIR/apply.log" 2>&1; then
      cat "$DIR/apply.log"
      return 0
    fi
    sleep 0.1
  done
  cat "$DIR/apply.log" >&2
  return 1
}

load() { # load NAME FIELDS
  cat > "$DIR/$1.json" <<JSON
{"entries": [$callers], "keys": ["key-small"], "model": "fitter-1", "timeout_seconds": 40, $2}
JSON
  bin/bilberry-load -config "$DIR/$1.json"
}

# wait_served waits, for up to 20 s, until a model request succeeds: an entry process
# must first receive the announcement of an engine.
wait_served() {
  local end=$((SECONDS + 20))
  while [ "$SECONDS" -lt "$end" ]; do
    if load probe '"mode": "once", "requests": 1, "prompt_tokens": 1000, "max_tokens": 4' > "$DIR/probe.out" 2>&1 \
       && grep -q 'outcomes: ok 1' "$DIR/probe.out"; then return 0; fi
    sleep 0.1
  done
  cat "$DIR/probe.out" >&2
  tail -n 5 "$DIR"/*.log >&2
  return 1
}

echo "== manifest"
apply
wait_served
echo "== short prompt, 1,000 tokens, streamed"
load short '"mode": "once", "requests": 1, "prompt_tokens": 1000, "max_tokens": 32, "urgency": "urgent"' | tee "$DIR/short.out"
echo "== long prompt, 200,000 tokens, streamed"
load long '"mode": "once", "requests": 1, "prompt_tokens": 200000, "max_tokens": 32, "urgency": "batch"' | tee "$DIR/long.out"
echo "== one booking, sent three times with the same key through different entry processes"
load booking '"mode": "single", "single": {"method": "POST", "path": "/bookings/confirm", "body": "{\"job\": 7}", "idempotency_key": "job-7", "repeat": 2}' | tee "$DIR/booking.out"
grep -q 'outcomes: ok 1' "$DIR/short.out"
grep -q 'outcomes: ok 1' "$DIR/long.out"
[ "$(grep -c 'status 200' "$DIR/booking.out")" = 3 ]
[ "$(grep -c 'replay true' "$DIR/booking.out")" = 2 ]
if [ "${HOLD:-}" = 1 ]; then
  echo "== running; settings, logs and data are in $DIR"
  echo "callers: $callers"
  echo "state dump of the first entry process: http://127.0.0.1:$((BASE + 400))/dump"
  echo "press Ctrl-C to stop"
  while true; do sleep 1; done
fi
echo "== done"
