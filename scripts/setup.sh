# Functions that write the settings of a cluster on loopback and start and stop its
# processes. Sourced by the other scripts.
#
# DIR is the directory of settings, logs and data. Ports are allocated from BASE:
# +0 state, +20 state admin, +100 callers, +200 announcements, +300 wire,
# +400 entry admin, +500 backend servers.

DOMAINS=${DOMAINS:-"d1 d2 d3"}
ENTRIES_PER_DOMAIN=${ENTRIES_PER_DOMAIN:-1}
ENGINES_PER_DOMAIN=${ENGINES_PER_DOMAIN:-2}
POLICY=${POLICY:-bilberry}
TIME_SCALE=${TIME_SCALE:-1}
LOG_LEVEL=${LOG_LEVEL:-info}
PIDS=()

# find_base sets BASE to the first port of a range in which no sampled port is
# in use. The ranges end below 32768, the first ephemeral port, from which the system
# allocates the ports of outgoing connections.
find_base() {
  local try port used
  for try in $(seq 1 50); do
    BASE=$((12000 + (RANDOM % 30) * 650))
    used=0
    for port in 0 1 2 20 100 101 102 200 201 202 300 301 302 400 500 501 502 503; do
      if (exec 3<>"/dev/tcp/127.0.0.1/$((BASE + port))") 2>/dev/null; then used=1; break; fi
    done
    [ "$used" = 0 ] && return 0
  done
  echo "no free port range found" >&2
  return 1
}

join() { local IFS=,; echo "$*"; }

write_state_settings() {
  local n=0 d list=()
  for d in $DOMAINS; do
    list+=("{\"name\": \"state-$d\", \"address\": \"127.0.0.1:$((BASE + n))\", \"failure_domain\": \"$d\"}")
    n=$((n + 1))
  done
  n=0
  for d in $DOMAINS; do
    cat > "$DIR/state-$d.json" <<JSON
{"id": "state-$d", "failure_domain": "$d", "listen": "127.0.0.1:$((BASE + n))",
 "admin_listen": "127.0.0.1:$((BASE + 20 + n))", "data_dir": "$DIR/data-$d",
 "replicas": [$(join "${list[@]}")], "log_level": "$LOG_LEVEL"}
JSON
    n=$((n + 1))
  done
}

# quoted_addresses FIRST COUNT lists addresses as JSON strings.
quoted_addresses() {
  local i list=()
  for i in $(seq 0 $(($2 - 1))); do list+=("\"127.0.0.1:$(($1 + i))\""); done
  join "${list[@]}"
}

count_words() { echo $#; }

write_entry_settings() {
  local n=0 d i total states
  states=$(count_words $DOMAINS)
  total=$((states * ENTRIES_PER_DOMAIN))
  ENTRY_IDS=()
  for d in $DOMAINS; do
    for i in $(seq 1 "$ENTRIES_PER_DOMAIN"); do
      cat > "$DIR/entry-$d-$i.json" <<JSON
{"id": "entry-$d-$i", "failure_domain": "$d",
 "listen": "127.0.0.1:$((BASE + 100 + n))", "announce_listen": "127.0.0.1:$((BASE + 200 + n))",
 "wire_listen": "127.0.0.1:$((BASE + 300 + n))", "admin_listen": "127.0.0.1:$((BASE + 400 + n))",
 "entries": [$(quoted_addresses $((BASE + 300)) "$total")],
 "states": [$(quoted_addresses "$BASE" "$states")],
 "dispatch_policy": "$POLICY", "seed": $((n + 1)), "drain_seconds": 60,
 "accept_prompt_tokens_header": true, "log_level": "$LOG_LEVEL"}
JSON
      ENTRY_IDS+=("entry-$d-$i")
      n=$((n + 1))
    done
  done
}

# write_standin_settings writes the settings of one process for each failure domain,
# with its engines and one plain service. Only the first domain has the plain
# service, unless PLAIN_EVERYWHERE is set.
write_standin_settings() {
  local n=0 p=0 d i list first
  for d in $DOMAINS; do
    list=()
    for i in $(seq 1 "$ENGINES_PER_DOMAIN"); do
      list+=("{\"id\": \"engine-$d-$i\", \"kind\": \"model\", \"listen\": \"127.0.0.1:$((BASE + 500 + p))\", \"failure_domain\": \"$d\", \"service\": \"assistant\", \"models\": [\"fitter-1\"], \"cold_limit_requests\": 2}")
      p=$((p + 1))
    done
    if [ "$n" = 0 ] || [ -n "${PLAIN_EVERYWHERE:-}" ]; then
      list+=("{\"id\": \"booking-$d\", \"kind\": \"plain\", \"listen\": \"127.0.0.1:$((BASE + 500 + p))\", \"failure_domain\": \"$d\", \"service\": \"bookings\", \"path_prefix\": \"/bookings\", \"plain_ms\": 5}")
      p=$((p + 1))
    fi
    first=$((BASE + 200 + n * ENTRIES_PER_DOMAIN))
    cat > "$DIR/standin-$d.json" <<JSON
{"time_scale": $TIME_SCALE, "seed": $((n + 1)), "log_level": "warn",
 "entries": [$(quoted_addresses "$first" "$ENTRIES_PER_DOMAIN")],
 "model": {"allow_prompt_tokens_header": true, "report_delay_ms": 300, "report_drop": 0.1, "event_drop": 0.05, "memory_tokens": 400000, "max_batch": 64 ${MODEL_EXTRA:-}},
 "instances": [$(join "${list[@]}")]}
JSON
    n=$((n + 1))
  done
}

# write_manifest NUMBER writes a manifest with two accounts, whose keys are
# key-large and key-small.
write_manifest() {
  local d domains=()
  for d in $DOMAINS; do domains+=("{\"name\": \"$d\", \"region\": \"r1\"}"); done
  local large small
  large=$(printf 'key-large' | sha256sum | cut -d' ' -f1)
  small=$(printf 'key-small' | sha256sum | cut -d' ' -f1)
  local grants='[{"service": "assistant", "urgencies": ["normal", "urgent", "batch"], "rate_per_second": 10000, "concurrent": 10000}, {"service": "bookings", "urgencies": ["urgent"], "rate_per_second": 10000, "concurrent": 1000}]'
  cat > "$DIR/manifest.json" <<JSON
{"number": $1,
 "failure_domains": [$(join "${domains[@]}")],
 "urgencies": [{"name": "urgent", "priority": 0, "ttft_target_ms": 660}, {"name": "normal", "priority": 1, "ttft_target_ms": 2000}, {"name": "batch", "priority": 2, "ttft_target_ms": 60000}],
 "services": [
  {"name": "assistant", "kind": "model", "models": ["fitter-1"], "cold_limit_requests": 2, "deadline_ms": 300000, "max_body_bytes": 16777216, "prefill_tokens_per_second": 20000, "max_output_tokens": 2048},
  {"name": "bookings", "kind": "plain", "path_prefix": "/bookings", "cold_limit_requests": 4, "deadline_ms": 10000, "max_body_bytes": 65536}],
 "accounts": [
  {"name": "large", "key_sha256": ["$large"], "weight": 1, "grants": $grants},
  {"name": "small", "key_sha256": ["$small"], "weight": 1, "grants": $grants}]}
JSON
}

write_ctl_settings() {
  local states total
  states=$(count_words $DOMAINS)
  total=$((states * ENTRIES_PER_DOMAIN))
  cat > "$DIR/ctl.json" <<JSON
{"states": [$(quoted_addresses "$BASE" "$states")]}
JSON
}

write_all() {
  write_state_settings
  write_entry_settings
  write_standin_settings
  write_manifest 1
  write_ctl_settings
}

# start NAME BINARY SETTINGS runs a process in the background, with the settings file
# SETTINGS.json and the log file NAME.log.
start() {
  bin/"$2" -config "$DIR/$3.json" > "$DIR/$1.log" 2>&1 &
  PIDS+=($!)
  echo $! > "$DIR/$1.pid"
}

start_all() {
  local d id
  for d in $DOMAINS; do start "state-$d" bilberry-state "state-$d"; done
  for id in "${ENTRY_IDS[@]}"; do start "$id" bilberry-entry "$id"; done
  for d in $DOMAINS; do start "standin-$d" bilberry-standin "standin-$d"; done
}

# stop_all stops the processes that this script started, by process id, with SIGTERM
# and after 10 s with SIGKILL.
stop_all() {
  local pid i
  for pid in "${PIDS[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for i in $(seq 1 100); do
    local alive=0
    for pid in "${PIDS[@]}"; do kill -0 "$pid" 2>/dev/null && alive=1; done
    [ "$alive" = 0 ] && return 0
    sleep 0.1
  done
  for pid in "${PIDS[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
}
