#!/usr/bin/env bash
# Runs the policy experiment, the path measurement and the allocation experiment,
# and writes tables, JSON and plots to bench-out/.
#
# Every policy gets the same processes on loopback, the same engines and the same
# workload. Time in the engine model is scaled by TIME_SCALE, so that 200 s of
# traffic take 20 s; deadlines, targets and speeds are scaled with it, while the
# serving layer itself runs in real time.
#
# PARTS selects from "policies path allocation", POLICIES selects the policies.
# MAX_TOKENS limits the length of the prompts in tokens; prompts above 400,000 tokens
# need several engines. OUT is the output directory.
set -euo pipefail
cd "$(dirname "$0")/.."
OUT=${OUT:-$PWD/bench-out}
PARTS=${PARTS:-"policies path allocation"}
POLICIES=${POLICIES:-"bilberry random round_robin fewest_requests fewest_tokens"}
SEED=${SEED:-1}
DURATION=${DURATION:-200}
# RATE, in requests/s, is about 85% of the capacity of 15 engines: a prompt has
# 29,000 tokens on average, and decoding takes a sixth of the steps.
RATE=${RATE:-6.9}
MAX_TOKENS=${MAX_TOKENS:-1000000}
LEAVE=60
AWAY=60
ACCOUNTS=10
LOG_LEVEL=${LOG_LEVEL:-warn}
source scripts/setup.sh
mkdir -p "$OUT"
cleanup() { stop_all; }
trap cleanup EXIT

# write_standin_settings overrides the function of setup.sh: it writes engines only,
# with an administration address for each process.
write_standin_settings() {
  local n=0 p=0 d i list
  ENGINES=() ADMINS=()
  for d in $DOMAINS; do
    list=()
    for i in $(seq 1 "$ENGINES_PER_DOMAIN"); do
      list+=("{\"id\": \"engine-$d-$i\", \"kind\": \"model\", \"listen\": \"127.0.0.1:$((BASE + 500 + p))\", \"failure_domain\": \"$d\", \"service\": \"assistant\", \"models\": [\"fitter-1\"], \"cold_limit_requests\": $COLD_LIMIT}")
      ENGINES+=("\"127.0.0.1:$((BASE + 500 + p))\"")
      p=$((p + 1))
    done
    cat > "$DIR/standin-$d.json" <<JSON
{"time_scale": $TIME_SCALE, "seed": $((SEED + n)), "log_level": "warn", "admin": "127.0.0.1:$((BASE + 600 + n))",
 "entries": [$(quoted_addresses $((BASE + 200 + n * ENTRIES_PER_DOMAIN)) "$ENTRIES_PER_DOMAIN")],
 "model": {$MODEL}, "instances": [$(join "${list[@]}")]}
JSON
    ADMINS+=("127.0.0.1:$((BASE + 600 + n))")
    n=$((n + 1))
  done
}

# write_manifest NUMBER writes a manifest with ACCOUNTS accounts of equal weight,
# whose keys are key-0, key-1 and so on.
write_manifest() {
  local d i list=() domains=()
  for d in $DOMAINS; do domains+=("{\"name\": \"$d\", \"region\": \"r1\"}"); done
  for i in $(seq 0 $((ACCOUNTS - 1))); do
    list+=("{\"name\": \"account-$i\", \"key_sha256\": [\"$(printf 'key-%d' "$i" | sha256sum | cut -d' ' -f1)\"], \"grants\": [{\"service\": \"assistant\", \"urgencies\": [\"normal\", \"urgent\", \"batch\"], \"rate_per_second\": 100000, \"concurrent\": 100000}]}")
  done
  cat > "$DIR/manifest.json" <<JSON
{"number": $1, "failure_domains": [$(join "${domains[@]}")],
 "urgencies": [$URGENCIES],
 "services": [{"name": "assistant", "kind": "model", "models": ["fitter-1"], "cold_limit_requests": $COLD_LIMIT, "deadline_ms": 600000, "max_body_bytes": 16777216, "prefill_tokens_per_second": $PREFILL, "max_output_tokens": 4096}],
 "accounts": [$(join "${list[@]}")]}
JSON
}

keys() {
  local i list=()
  for i in $(seq 0 $((ACCOUNTS - 1))); do list+=("\"key-$i\""); done
  join "${list[@]}"
}

# load NAME FIELDS runs the load tool and writes its output to NAME.txt.
load() {
  cat > "$DIR/$1-settings.json" <<JSON
{"entries": [$(quoted_addresses $((BASE + 100)) "${#ENTRY_IDS[@]}")], "keys": [$(keys)], "model": "fitter-1", "seed": $SEED, "label": "$POLICY", $2}
JSON
  bin/bilberry-load -config "$DIR/$1-settings.json" > "$DIR/$1.txt" 2>&1
}

# retry COMMAND repeats the command until it succeeds, for at most 20 s.
retry() {
  local end=$((SECONDS + 20))
  while [ "$SECONDS" -lt "$end" ]; do
    "$@" > "$DIR/retry.log" 2>&1 && return 0
    sleep 0.1
  done
  cat "$DIR/retry.log" >&2
  tail -q -n 3 "$DIR"/*.log >&2
  return 1
}

probe_ok() {
  load probe '"mode": "once", "requests": 3, "max_tokens": 4'
  grep -q 'outcomes: ok 3' "$DIR/probe.txt"
}

# start_up starts a cluster for POLICY on a free range of ports and waits until it
# serves.
start_up() {
  PIDS=()
  rm -rf "$DIR"
  mkdir -p "$DIR"
  find_base
  write_all
  start_all
  retry timeout 5 bin/bilberryctl -config "$DIR/ctl.json" apply "$DIR/manifest.json" && retry probe_ok && all_alive
}

# all_alive fails if a process has exited, for example because its port was in use.
all_alive() {
  local pid
  for pid in "${PIDS[@]}"; do kill -0 "$pid" 2>/dev/null || return 1; done
}

# bring_up starts a cluster and sends warm-up requests, which raise the cold start
# budgets. It tries three times, because another program may take a port after
# find_base has checked the range.
bring_up() {
  local try
  for try in 1 2 3; do
    if start_up; then break; fi
    stop_all
    [ "$try" -lt 3 ] || return 1
  done
  load warm-up "\"mode\": \"once\", \"requests\": $WARMUP, \"concurrency\": 30, \"max_tokens\": 4"
}

stats() {
  local a list=()
  for a in "${ADMINS[@]}"; do list+=("\"http://$a/admin/stats\""); done
  join "${list[@]}"
}

# crash_urls lists the URLs that inject faults into the engines of the last failure
# domain, as JSON strings.
crash_urls() {
  local i d=${DOMAINS##* } list=()
  for i in $(seq 1 "$ENGINES_PER_DOMAIN"); do list+=("\"http://${ADMINS[-1]}/admin/instances/engine-$d-$i/faults\""); done
  join "${list[@]}"
}

# send RUN SALT FIELDS ACTIONS sends the workload and writes POLICY-RUN.json.
send() {
  load "$1" "\"mode\": \"workload\", \"time_scale\": $TIME_SCALE, \"json\": \"$OUT/$POLICY-$1.json\", \"keep_results\": true, \"stats\": [$(stats)], \"actions\": [$4],
 \"workload\": {\"seed\": $SEED, \"salt\": $2, \"duration_seconds\": $DURATION, \"requests_per_second\": $RATE, \"accounts\": $ACCOUNTS, \"burst_requests\": 40, \"burst_every_seconds\": 60, \"max_tokens\": $MAX_TOKENS $3}"
}

# measure takes the arguments of send and prints the outcomes. A run in which the
# machine was too busy to send in time is not hidden, but marked as not valid.
measure() {
  local note=
  send "$@" || note=" NOT VALID: $(tail -n 1 "$DIR/$1.txt")"
  echo "$POLICY $1: $(grep outcomes "$DIR/$1.txt")$note"
}

run_policies() {
  TIME_SCALE=${TIME_SCALE_POLICIES:-0.1}
  ENGINES_PER_DOMAIN=5 ENTRIES_PER_DOMAIN=2 COLD_LIMIT=2 WARMUP=600
  scaled() { awk "BEGIN { printf \"%d\", $1 * $TIME_SCALE }"; }
  PREFILL=$(awk "BEGIN { print 20000 / $TIME_SCALE }")
  URGENCIES="{\"name\": \"urgent\", \"priority\": 0, \"ttft_target_ms\": $(scaled 660)}, {\"name\": \"normal\", \"priority\": 1, \"ttft_target_ms\": $(scaled 2000)}, {\"name\": \"batch\", \"priority\": 2, \"ttft_target_ms\": $(scaled 60000)}"
  # In the domain run, engines return cold; the other runs have no cold engines.
  MODEL="\"starts_warm\": true, \"cold_requests\": 8, \"restart_seconds\": $AWAY, \"export_seconds\": 2, \"report_delay_ms\": 100, \"report_drop\": 0.1, \"event_drop\": 0.05"
  for POLICY in $POLICIES; do
    DIR=$OUT/run-$POLICY
    bring_up
    measure nolong 1 ', "no_long": true' ''
    measure main 2 '' ''
    measure domain 3 '' "{\"name\": \"a failure domain leaves\", \"at_seconds\": $LEAVE, \"urls\": [$(crash_urls)], \"body\": {\"crash\": true}}"
    stop_all
  done
  local list=()
  for POLICY in $POLICIES; do list+=("\"$POLICY\""); done
  cat > "$OUT/compare-settings.json" <<JSON
{"mode": "compare", "dir": "$OUT", "policies": [$(join "${list[@]}")], "leave_seconds": $LEAVE, "return_seconds": $((LEAVE + AWAY))}
JSON
  bin/bilberry-load -config "$OUT/compare-settings.json" | tee "$OUT/compare.txt"
}

# run_path measures one entry process. The engines use short steps and generate 20
# tokens/s for each stream, so that the variation of their own latency stays below
# the target.
run_path() {
  POLICY=bilberry DIR=$OUT/run-path TIME_SCALE=1 DOMAINS=d1
  ENGINES_PER_DOMAIN=4 ENTRIES_PER_DOMAIN=1 COLD_LIMIT=256 WARMUP=600 PREFILL=5000000
  URGENCIES='{"name": "normal", "priority": 1, "ttft_target_ms": 2000}, {"name": "urgent", "priority": 0}, {"name": "batch", "priority": 2}'
  MODEL='"decode_step_ms": 1, "decode_stride": 50, "decode_per_sequence_ms": 0.0001, "prefill_tokens_per_second": 5000000, "memory_tokens": 100000000, "max_batch": 4096'
  bring_up
  load path "\"mode\": \"path\", \"json\": \"$OUT/path.json\", \"plot\": \"$OUT/path.png\", \"path\": {\"direct\": [$(join "${ENGINES[@]}")], \"metrics\": [\"http://127.0.0.1:$((BASE + 400))/metrics\"], \"stream_tokens\": 3000}" || { cat "$DIR/path.txt"; return 1; }
  tee "$OUT/path.txt" < "$DIR/path.txt"
  stop_all
  # The second measurement relays the load of 500 streams of 200 tokens/s each.
  MODEL=${MODEL/\"decode_stride\": 50/\"decode_stride\": 5}
  bring_up
  load path "\"mode\": \"path\", \"json\": \"$OUT/throughput.json\", \"path\": {\"open_streams\": [500], \"direct\": [$(join "${ENGINES[@]}")], \"metrics\": [\"http://127.0.0.1:$((BASE + 400))/metrics\"], \"stream_tokens\": 4000}" || { cat "$DIR/path.txt"; return 1; }
  tee "$OUT/throughput.txt" < "$DIR/path.txt"
  stop_all
}

run_allocation() {
  echo "{\"mode\": \"allocation\", \"dir\": \"$OUT\"}" > "$OUT/allocation-settings.json"
  bin/bilberry-load -config "$OUT/allocation-settings.json" | tee "$OUT/allocation.txt"
}

began=$SECONDS
for part in $PARTS; do
  echo "== $part"
  "run_$part"
done
echo "== done in $((SECONDS - began)) s; reports are in bench-out/"
