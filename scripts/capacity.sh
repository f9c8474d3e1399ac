#!/bin/bash
# Measures memory and idle processor time of real processes, for the figures of
# docs/CAPACITY.md that benchmarks inside one process cannot give.
#
#   scripts/capacity.sh streams   memory of an entry process by open streams
#   scripts/capacity.sh idle      memory and processor time without requests
#
# "make build" must have run. All processes listen on loopback and end with the
# script.
set -u
cd "$(dirname "$0")/.." || exit 1
DIR=$(mktemp -d)
DOMAINS="d1"
ENGINES_PER_DOMAIN=${ENGINES_PER_DOMAIN:-16}
LOG_LEVEL=warn
. scripts/setup.sh
trap 'stop_all; rm -rf "$DIR"' EXIT

field() { awk -v f="$2:" '$1 == f {print $2}' "/proc/$(cat "$DIR/$1.pid")/status"; }
# ticks NAME prints the processor time of a process in 1/100 s.
ticks() { awk '{print $14 + $15}' "/proc/$(cat "$DIR/$1.pid")/stat"; }

begin() {
  find_base || exit 1
  write_all
  start_all
  local i
  for i in $(seq 1 100); do
    timeout 5 bin/bilberryctl -config "$DIR/ctl.json" apply "$DIR/manifest.json" >"$DIR/apply.log" 2>&1 && break
    sleep 0.2
  done
  sleep 3
}

# load REQUESTS CONCURRENCY TOKENS runs requests and waits until they have ended.
load() {
  cat > "$DIR/load.json" <<JSON
{"mode": "once", "entries": ["127.0.0.1:$((BASE + 100))"], "keys": ["key-large"], "model": "fitter-1",
 "requests": $1, "concurrency": $2, "prompt_tokens": 100, "max_tokens": $3, "deadline_ms": 120000, "timeout_seconds": 120}
JSON
  timeout 130 bin/bilberry-load -config "$DIR/load.json" > "$DIR/load.log" 2>&1 || echo "load failed"
  grep -m1 outcomes "$DIR/load.log" || tail -3 "$DIR/load.log"
}

streams() {
  local n i peak rss
  begin
  # These requests warm up the backend servers, which then accept all streams at once.
  load 400 16 4
  sleep 1
  echo "open streams 0: entry rss $(field entry-d1-1 VmRSS) kB"
  for n in ${SIZES:-64 256 512}; do
    load "$n" "$n" 600 &
    local job=$!
    peak=0
    for i in $(seq 1 300); do
      kill -0 "$job" 2>/dev/null || break
      rss=$(field entry-d1-1 VmRSS)
      [ "$rss" -gt "$peak" ] && peak=$rss
      sleep 0.1
    done
    wait "$job"
    echo "open streams $n: entry peak rss $peak kB"
  done
}

idle() {
  local name after
  begin
  sleep 2
  declare -A before
  for name in entry-d1-1 state-d1; do before["$name"]=$(ticks $name); done
  sleep 10
  for name in entry-d1-1 state-d1; do
    after=$(ticks $name)
    echo "$name: rss $(field $name VmRSS) kB, processor time $((after - before[$name])) ms in 1 s"
  done
}

case "${1:-}" in
  streams) streams ;;
  idle) idle ;;
  *) sed -n '2,9p' "$0"; exit 2 ;;
esac
