# Functions for scripts that run auburnlead processes on loopback. Sourced by the
# other scripts of this folder; needs bash and the binary bin/auburnlead.
BIN=$PWD/bin/auburnlead
WORK_DIR=$(mktemp -d)
declare -A PID ADDRESS
PASSED=0
FAILED=0
readonly RETRIES=200 RETRY_PAUSE=0.1 # 20 s: twice the default lease duration

cleanup() {
  local name
  for name in "${!PID[@]}"; do
    kill -9 "${PID[$name]}" 2>/dev/null
    wait "${PID[$name]}" 2>/dev/null
  done
  [ -n "${KEEP_LOGS:-}" ] && echo "logs: $WORK_DIR" || rm -rf "$WORK_DIR"
}
trap cleanup EXIT

# check DESCRIPTION COMMAND...: runs the command and counts the result.
check() {
  local desc=$1
  shift
  if "$@" >"$WORK_DIR/last.log" 2>&1; then
    PASSED=$((PASSED + 1))
    printf 'ok    %s\n' "$desc"
  else
    FAILED=$((FAILED + 1))
    printf 'FAIL  %s\n' "$desc"
    tail -n 6 "$WORK_DIR/last.log"
  fi
}

summary() {
  echo "$1: $PASSED passed, $FAILED failed"
  [ "$FAILED" = 0 ]
}

# eventually COMMAND...: runs the command again and again until it succeeds; fails
# after RETRIES runs.
eventually() {
  local i
  for ((i = 0; i < RETRIES; i++)); do
    "$@" && return 0
    sleep "$RETRY_PAUSE"
  done
  return 1
}

# start NAME ARGUMENT...: starts a process and waits until it prints its addresses.
start() {
  launch "$@"
  await "$1"
}

# launch NAME ARGUMENT...: starts a process.
launch() {
  local name=$1
  shift
  : >"$WORK_DIR/$name.out"
  "$BIN" "$@" >"$WORK_DIR/$name.out" 2>>"$WORK_DIR/$name.log" &
  PID[$name]=$!
}

# await NAME: waits until a process prints its addresses.
await() {
  local name=$1
  eventually test -s "$WORK_DIR/$name.out" || { echo "$name did not start"; cat "$WORK_DIR/$name.log"; exit 1; }
  ADDRESS[$name]=$(sed -n 's/.*"listen":"\([^"]*\)".*/\1/p' "$WORK_DIR/$name.out")
}

# start_router NAME FAILURE_DOMAIN: starts a router and adds its VM to the
# platform's VM list.
start_router() {
  start "$1" router --set "node.id=$1" --set "node.failure_domain=$2" \
    --set caller.listen=127.0.0.1:0 --set admin.listen=127.0.0.1:0 --set "admin.key=$ADMIN_KEY" \
    --set peer.listen=127.0.0.1:0 --set "peer.key=$PEER_KEY" --set "platform.url=http://${ADDRESS[platform]}" \
    --set caller.drain_delay=200ms
  http PUT "${ADDRESS[platform]}" "/vms/$1" "{\"id\":\"$1\",\"address\":\"$(bound "$1" peer)\",\"failure_domain\":\"$2\",\"state\":\"live\"}" >/dev/null
}

# bound PROCESS COMPONENT: prints the address on which a component of a router or
# relay listens.
bound() { sed -n "s/.*\"$2\":\"\([^\"]*\)\".*/\1/p" "$WORK_DIR/$1.out"; }
caller() { echo "http://$(bound "$1" caller)"; }
admin() { echo "http://$(bound "$1" admin)"; }

# http METHOD ADDRESS PATH [BODY]: sends one HTTP/1.0 request and prints the
# response. It needs only bash.
http() {
  local host=${2%:*} port=${2#*:} body=${4:-}
  exec 9<>"/dev/tcp/$host/$port" || return 1
  printf '%s %s HTTP/1.0\r\nHost: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s' "$1" "$3" "$2" "${#body}" "$body" >&9
  cat <&9
  exec 9<&- 9>&-
}

# write_set FILE: writes an object set whose workers are the started processes.
write_set() {
  local digest
  digest=$(printf %s "$CALLER_KEY" | sha256sum | cut -d' ' -f1)
  cat >"$1" <<SET
[rank.urgent]
priority = 0
floor = 0.3
target_wait = 500ms

[rank.normal]
priority = 1
floor = 0.2

[rank.bulk]
priority = 2
floor = 0.1
target_wait = 1m

[model.rota-8b-v3]
weights = rota-8b/v3

[caller.panchayat-clerks]
key_sha256 = $digest
ranks = urgent, normal, bulk
default_rank = normal
models = rota-8b-v3
services = rota-desk
diagnostics = true

[upstream.auburnlead-pool]
kind = engine
models = rota-8b-v3
reports_load = true
checks_fencing = true
max_in_flight = ${MAX_IN_FLIGHT:-8}
worker = e1 a http://${ADDRESS[e1]}
worker = e2 a http://${ADDRESS[e2]}
worker = e3 b http://${ADDRESS[e3]}
worker = e4 b http://${ADDRESS[e4]}

[upstream.rota-desk]
kind = service
once_methods = POST
worker = s1 a http://${ADDRESS[s1]}
worker = s2 b http://${ADDRESS[s2]}
SET
}

# in_force COUNT REVISION: succeeds if the revision is active on at least COUNT
# live routers.
in_force() {
  local r out
  out=$("$BIN" --output json status --admin "$(admin r1)") || return 1
  [ "$(grep -o "\"state\":\"live\",\"revision\":$2\b" <<<"$out" | wc -l)" -ge "$1" ]
}

# chat NAME ROUTER FLAG...: sends one chat request and writes the result to
# NAME.json; fails unless the response is complete.
chat() {
  local name=$1 router=$2
  shift 2
  "$BIN" --output json load chat --url "$(caller "$router")" --model rota-8b-v3 "$@" >"$WORK_DIR/$name.json" &&
    grep -q '"complete":true' "$WORK_DIR/$name.json"
}

# field FIELD NAME: prints a field of the result that chat NAME wrote.
field() { sed -n "s/.*\"$1\":\"\{0,1\}\([^\",}]*\).*/\1/p" "$WORK_DIR/$2.json"; }

# booking NAME ROUTER KEY BODY: sends one booking and writes the response to
# NAME.out.
booking() {
  "$BIN" load service --url "$(caller "$2")" --method POST --path /v1/services/rota-desk/bookings --idempotency-key "$3" --body "$4" >"$WORK_DIR/$1.out"
}

# refused KIND COMMAND...: succeeds if the command fails with a problem of the
# given kind.
refused() {
  local kind=$1 out
  shift
  out=$("$@" 2>&1) && return 1
  grep -qi "$(problem_title "$kind")" <<<"$out"
}

problem_title() {
  case $1 in
  key_reused) echo "The Idempotency-Key belongs to another request" ;;
  key_required) echo "An Idempotency-Key is required" ;;
  unauthorized) echo "The key is missing or not valid" ;;
  esac
}

# journal_runs KEY: prints how often the services ran a request with the key.
journal_runs() {
  local s
  for s in s1 s2; do http GET "${ADDRESS[$s]}" /standin/journal; done | grep -o "\"$1\"" | wc -l
}

# audit_entries N: succeeds if the audit trail has at least N entries.
audit_entries() { [ "$("$BIN" --output json audit --admin "$(admin r2)" | grep -o '"author"' | wc -l)" -ge "$1" ]; }

# in_flight ROUTER N: succeeds if the engines run at least N requests. ROUTER is
# not used.
in_flight() {
  local e n=0
  for e in e1 e2 e3 e4; do
    [ -n "${PID[$e]:-}" ] || continue
    n=$((n + $(http GET "${ADDRESS[$e]}" /v1/load | sed -n 's/.*"running":\([0-9]*\).*/\1/p')))
  done
  [ "$n" -ge "$2" ]
}

# other_engine WORKER: prints the other engine of the worker's failure domain.
other_engine() {
  case $1 in
  e1) echo e2 ;; e2) echo e1 ;; e3) echo e4 ;; *) echo e3 ;;
  esac
}

kill_now() {
  kill -9 "${PID[$1]}"
  wait "${PID[$1]}" 2>/dev/null
  unset "PID[$1]"
}

stop_gracefully() {
  kill -TERM "${PID[$1]}"
  wait "${PID[$1]}"
  echo $? >"$WORK_DIR/$1.exit"
  unset "PID[$1]"
}

exit_code() { cat "$WORK_DIR/$1.exit"; }

stop_all() {
  local name
  for name in "${!PID[@]}"; do
    kill -TERM "${PID[$name]}"
    wait "${PID[$name]}"
    unset "PID[$name]"
  done
}

# none_left: succeeds if no process started by this script is running.
none_left() { [ -z "$(jobs -rp)" ]; }
