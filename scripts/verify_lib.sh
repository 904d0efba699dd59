# Functions of scripts/verify: they start a fleet behind relays, inject faults,
# generate load and check the results. Sourced after scripts/lib.sh.
readonly ROUTERS=(r1 r2 r3 r4) ENGINES=(e1 e2 e3 e4) SERVICES=(s1 s2)
readonly MAX_IN_FLIGHT=5 # per engine; the load needs about 80% of the slots
declare -A DOMAIN=([r1]=a [r2]=a [r3]=b [r4]=b)
declare -A STARTS WATCHER
PLATFORM_FAULTS=()
LOADS=()

# Short lease times cause several takeovers in one run.
readonly FAST=(--set peer.lease_time=2s --set peer.renew=500ms --set peer.use_by=1s --set peer.suspect=2s
  --set peer.gone=5s --set peer.stable=1s --set peer.list_poll=1s --set config.poll_period=1s)

declare -A BROKEN TRIED # number of violations and of operations, by guarantee

# prove GUARANTEE DESCRIPTION COMMAND...: runs a check whose failure is a violation
# of the guarantee.
prove() {
  local promise=$1 before=$FAILED
  shift
  check "$@"
  BROKEN[$promise]=$((${BROKEN[$promise]:-0} + FAILED - before))
}

# report_proofs: appends one line for each guarantee that the scenario has checked
# to the file AUBURNLEAD_PROOFS, in the format of internal/proof.
report_proofs() {
  local promise
  TRIED[R1]=$RUNS
  TRIED[R2]=$(count complete "$WORK_DIR"/run?.json)
  TRIED["R3 R4"]=$(count requests "$WORK_DIR/checked.json")
  TRIED[R7]=$(cat "$WORK_DIR"/revisions-* | wc -l)
  [ -n "${AUBURNLEAD_PROOFS:-}" ] || return
  for promise in "${!BROKEN[@]}"; do
    printf '%s\tprocesses\tscripts/verify %s\t%s\t1\t%s\t%s\n' "$promise" "$SCENARIO" "${FAULT_TEXT[$SCENARIO]}" "${TRIED[$promise]:-0}" "${BROKEN[$promise]}" >>"$AUBURNLEAD_PROOFS"
  done
}

# pause BASE: waits BASE to BASE+1 seconds, chosen by the seed. The wait affects
# the order of events in a run, but no check depends on it.
pause() { sleep "$1.$((RANDOM % 10))"; }

# pick NAME...: sets PICKED to one of the names, chosen by the seed.
pick() {
  local list=("$@")
  PICKED=${list[RANDOM % ${#list[@]}]}
}

# post ADDRESS PATH BODY: sends one POST request and ignores failures.
post() { http POST "$@" >/dev/null 2>&1; }

launch_engine() { launch "$1" standin engine --id "$1" --first-token 20ms --token 10ms --checks-fencing; }

# relay NAME MODE [DELAY_MS]: sets the mode of a relay.
relay() { post "$(bound "$1" control)" /relay "{\"mode\":\"$2\",\"delay_ms\":${3:-0}}"; }

# point RELAY TARGET: makes a relay forward connections to an address.
point() { post "$(bound "$1" control)" /relay "{\"mode\":\"pass\",\"target\":\"$2\"}"; }

# run_router NAME: starts a router that reaches the platform, and is reached by
# its peers and callers, through relays.
run_router() {
  local r=$1
  STARTS[$r]=$((${STARTS[$r]:-0} + 1))
  start "$r" router --set "node.id=$r" --set "node.failure_domain=${DOMAIN[$r]}" "${FAST[@]}" \
    --set caller.listen=127.0.0.1:0 --set admin.listen=127.0.0.1:0 --set "admin.key=$ADMIN_KEY" \
    --set peer.listen=127.0.0.1:0 --set "peer.advertise=${ADDRESS[peer-$r]}" --set "peer.key=$PEER_KEY" \
    --set "platform.url=http://${ADDRESS[platform-$r]}" --set caller.drain_delay=200ms
  point "peer-$r" "$(bound "$r" peer)"
  point "caller-$r" "$(bound "$r" caller)"
  watch "$r" &
  WATCHER[$r]=$!
}

# list_vm ROUTER: puts the router on the platform's VM list.
list_vm() {
  http PUT "${ADDRESS[platform]}" "/vms/$1" "{\"id\":\"$1\",\"address\":\"${ADDRESS[peer-$1]}\",\"failure_domain\":\"${DOMAIN[$1]}\",\"state\":\"live\"}" >/dev/null
}

# watch ROUTER: records the revision that the router's process reports until the
# process ends.
watch() {
  local r=$1 process="$1/${STARTS[$1]}" pid=${PID[$1]} revision
  while kill -0 "$pid" 2>/dev/null; do
    revision=$("$BIN" --output json status --admin "$(admin "$r")" 2>/dev/null | grep -o '"revision":[0-9]*' | head -n 1)
    [ -n "$revision" ] && echo "$process ${revision#*:}" >>"$WORK_DIR/revisions-$r"
    sleep 0.2
  done
}

# start_fleet: starts everything and publishes revision 1.
start_fleet() {
  local name
  launch platform standin platform --seed "$SEED"
  for name in "${ENGINES[@]}"; do launch_engine "$name"; done
  for name in "${SERVICES[@]}"; do launch "$name" standin service --id "$name"; done
  for name in "${ROUTERS[@]}"; do
    launch "platform-$name" standin relay
    launch "peer-$name" standin relay
    launch "caller-$name" standin relay
  done
  for name in "${ENGINES[@]}" "${SERVICES[@]}"; do launch "worker-$name" standin relay; done
  for name in "${!PID[@]}"; do await "$name"; done
  write_relayed_set
  for name in "${ROUTERS[@]}"; do
    point "platform-$name" "${ADDRESS[platform]}"
    run_router "$name"
    list_vm "$name"
  done
  eventually "$BIN" apply --admin "$(admin r1)" --author verify --base 0 "$WORK_DIR/set.ini" >/dev/null 2>&1
  check "revision 1 is in force on four routers" eventually all_in_force
  check "the fleet answers chats" eventually chat first r1 --message "Is the well free?"
  check "the fleet answers chats in the other failure domain" eventually chat second r3 --message "Is the well free?"
}

# write_relayed_set: writes the object set with the relays' addresses as the
# addresses of the workers.
write_relayed_set() {
  local name
  declare -A real
  for name in "${ENGINES[@]}" "${SERVICES[@]}"; do
    point "worker-$name" "${ADDRESS[$name]}"
    real[$name]=${ADDRESS[$name]}
    ADDRESS[$name]=${ADDRESS[worker-$name]}
  done
  write_set "$WORK_DIR/set.ini"
  for name in "${!real[@]}"; do ADDRESS[$name]=${real[$name]}; done
}

# own_revision ROUTER: prints the active revision of a router.
own_revision() { "$BIN" --output json status --admin "$(admin "$1")" 2>/dev/null | grep -o '"revision":[0-9]*' | head -n 1 | cut -d: -f2; }

# newest ROUTER: prints the newest published revision, as the router reports it.
newest() { "$BIN" --output json audit --admin "$(admin "$1")" 2>/dev/null | grep -o '"revision":[0-9]*' | head -n 1 | cut -d: -f2; }

# all_in_force: succeeds if the newest revision is active on every running router.
all_in_force() {
  local r n
  for r in "${ROUTERS[@]}"; do
    [ -n "${PID[$r]:-}" ] || continue
    n=${n:-$(newest "$r")}
    [ -n "$n" ] && [ "$(own_revision "$r")" = "$n" ] || return 1
  done
}

# caller_urls: prints the flags that make a load process use all routers.
caller_urls() {
  local r
  for r in "${ROUTERS[@]}"; do echo "--url=http://${ADDRESS[caller-$r]}"; done
}

# start_load: starts five processes that send chats and bookings for about 16 s.
# Two of the booking processes use the same keys.
start_load() {
  local urls
  mapfile -t urls < <(caller_urls)
  "$BIN" --output json load run "${urls[@]}" --model rota-8b-v3 --rate 50 --requests 800 --max-tokens 24 --verify --timeout 30s --seed "$SEED" >"$WORK_DIR/run1.json" 2>"$WORK_DIR/run1.err" &
  LOADS+=($!)
  "$BIN" --output json load run "${urls[@]}" --model rota-8b-v3 --rate 20 --requests 320 --max-tokens 12 --verify --timeout 30s --rank urgent --no-stream --seed "$((SEED + 1000))" >"$WORK_DIR/run2.json" 2>"$WORK_DIR/run2.err" &
  LOADS+=($!)
  start_booking 1 shared- "${urls[@]}"
  start_booking 2 shared- "${urls[@]}"
  start_booking 3 own- "${urls[@]}"
}

start_booking() {
  local n=$1 prefix=$2
  shift 2
  "$BIN" load book "$@" --path /v1/services/rota-desk/bookings --prefix "$prefix" --keys 64 --rounds 5 --rate 20 --seed "$((SEED * 10 + n))" >"$WORK_DIR/book$n.jsonl" 2>"$WORK_DIR/book$n.err" &
  LOADS+=($!)
}

# wait_load: waits for the load processes and checks the responses to chats.
wait_load() {
  local pid failed=0
  for pid in "${LOADS[@]}"; do wait "$pid" || failed=1; done
  LOADS=()
  check "the load processes ended without an error" test "$failed" = 0
  prove R2 "no complete chat response has missing or duplicate content, or content of another request" grep -q '"wrong":0' "$WORK_DIR/run1.json"
  prove R2 "no buffered response has missing or duplicate content, or content of another request" grep -q '"wrong":0' "$WORK_DIR/run2.json"
}

# For each fault NAME, NAME_on starts the fault and sets TARGET to what it
# affects, and NAME_off TARGET ends it.
kill_router_on() { pick "${ROUTERS[@]}"; TARGET=$PICKED; [ -z "${PID[$TARGET]:-}" ] || kill_now "$TARGET"; }
kill_router_off() { [ -n "${PID[$1]:-}" ] || run_router "$1"; }
kill_engine_on() {
  pick "${ENGINES[@]}"
  TARGET=$PICKED
  [ -n "${PID[$TARGET]:-}" ] || return
  engine_bound "$TARGET"
  kill_now "$TARGET"
}
kill_engine_off() {
  [ -z "${PID[$1]:-}" ] || return
  launch_engine "$1"
  await "$1"
  point "worker-$1" "${ADDRESS[$1]}"
}
pause_on() { pick "$@"; TARGET=$PICKED; kill -STOP "${PID[$TARGET]}"; }
pause_router_on() { pause_on "${ROUTERS[@]}"; }
pause_engine_on() { pause_on "${ENGINES[@]}"; }
pause_service_on() { pause_on "${SERVICES[@]}"; }
pause_platform_on() { pause_on platform; }
pause_router_off() { kill -CONT "${PID[$1]}"; }
pause_engine_off() { pause_router_off "$1"; }
pause_service_off() { pause_router_off "$1"; }
pause_platform_off() { pause_router_off "$1"; }

# platform_faults: sends all active faults to the platform stand-in in one request,
# because each request replaces the earlier faults.
platform_faults() {
  local body
  body=$(IFS=,; echo "${PLATFORM_FAULTS[*]}")
  post "${ADDRESS[platform]}" /faults "{$body}"
}
platform_on() { PLATFORM_FAULTS+=("$1"); platform_faults; }
platform_off() {
  local f kept=()
  for f in "${PLATFORM_FAULTS[@]}"; do [ "$f" = "$1" ] || kept+=("$f"); done
  PLATFORM_FAULTS=("${kept[@]}")
  platform_faults
}
readonly LOST='"lost_replies":0.3,"dropped_requests":0.1' LATE='"late_writes":0.3,"duplicate_writes":0.3,"late_by_ms":700'
outage_on() { TARGET=platform; platform_on '"outage":true'; }
outage_off() { platform_off '"outage":true'; }
slow_on() { TARGET=platform; platform_on '"delay_ms":400'; }
slow_off() { platform_off '"delay_ms":400'; }
lost_on() { TARGET=platform; platform_on "$LOST"; }
lost_off() { platform_off "$LOST"; }
late_on() { TARGET=platform; platform_on "$LATE"; }
late_off() { platform_off "$LATE"; }
lag_on() { TARGET=platform; platform_on '"vm_lag_ms":10000'; }
lag_off() { platform_off '"vm_lag_ms":10000'; }

# Faults in the streams of engines, and faults of services.
frames_on() { pick "${ENGINES[@]}"; TARGET=$PICKED; post "${ADDRESS[$TARGET]}" /standin/behavior "{$1}"; }
frames_off() { post "${ADDRESS[$1]}" /standin/behavior '{}'; }
cut_frames_on() { frames_on "\"cut_after\":$((RANDOM % 12 + 1))"; }
hang_frames_on() { frames_on "\"hang_after\":$((RANDOM % 12 + 1)),\"streams\":4"; }
foreign_frames_on() { frames_on "\"foreign_at\":$((RANDOM % 12 + 1)),\"double_at\":$((RANDOM % 12 + 1))"; }
reorder_frames_on() { frames_on "\"reorder_at\":$((RANDOM % 12 + 1)),\"double_at\":$((RANDOM % 12 + 1))"; }
refuse_frames_on() { frames_on '"refuse":true'; }
cut_frames_off() { frames_off "$1"; }
hang_frames_off() { frames_off "$1"; }
foreign_frames_off() { frames_off "$1"; }
reorder_frames_off() { frames_off "$1"; }
refuse_frames_off() { frames_off "$1"; }
services_on() { pick "${SERVICES[@]}"; TARGET=$PICKED; post "${ADDRESS[$TARGET]}" /faults "{$1}"; }
services_off() { post "${ADDRESS[$1]}" /faults '{}'; }
break_service_on() { services_on '"refuse":4,"die_before":4,"die_after":4'; }
break_service_off() { services_off "$1"; }
slow_service_on() { services_on '"slow_ms":900'; }
slow_service_off() { services_off "$1"; }

# Faults of connections, which the relays inject: link_on MODE RELAY... sets the
# mode of one of the relays.
link_on() {
  local mode=$1
  shift
  pick "$@"
  TARGET=$PICKED
  relay "$TARGET" "$mode" 300
}
links() { LINKS=("${ROUTERS[@]/#/$1-}"); }
link_off() { relay "$1" pass; }
cut_peer_on() { links peer; link_on cut "${LINKS[@]}"; }
hold_peer_on() { links peer; link_on hold "${LINKS[@]}"; }
delay_peer_on() { links peer; link_on delay "${LINKS[@]}"; }
cut_platform_on() { links platform; link_on cut "${LINKS[@]}"; }
hold_platform_on() { links platform; link_on hold "${LINKS[@]}"; }
cut_worker_on() { link_on cut worker-e1 worker-e2 worker-e3 worker-e4 worker-s1 worker-s2; }
hold_worker_on() { link_on hold worker-e1 worker-e2 worker-e3 worker-e4 worker-s1 worker-s2; }
cut_caller_on() { links caller; link_on cut "${LINKS[@]}"; }
cut_peer_off() { link_off "$1"; }
hold_peer_off() { link_off "$1"; }
delay_peer_off() { link_off "$1"; }
cut_platform_off() { link_off "$1"; }
hold_platform_off() { link_off "$1"; }
cut_worker_off() { link_off "$1"; }
hold_worker_off() { link_off "$1"; }
cut_caller_off() { link_off "$1"; }

# shuffle NAME...: appends the names to ORDER in an order chosen by the seed.
shuffle() {
  local list=("$@") i
  while [ ${#list[@]} -gt 0 ]; do
    i=$((RANDOM % ${#list[@]}))
    ORDER+=("${list[i]}")
    list=("${list[@]:0:i}" "${list[@]:i+1}")
  done
}

# inject FAULT...: injects every fault at least once, two at a time, in an order
# chosen by the seed; if there are few faults, each is injected more than once.
# The second fault of a pair ends first.
readonly PAIRS=4
inject() {
  local i first second a b
  ORDER=()
  while [ ${#ORDER[@]} -lt $((2 * PAIRS)) ]; do shuffle "$@"; done
  pause 0
  for ((i = 0; i < 2 * PAIRS; i += 2)); do
    first=${ORDER[i]} second=${ORDER[i + 1]}
    "${first}_on"
    a=$TARGET
    pause 0
    "${second}_on"
    b=$TARGET
    echo "      fault: $first $a, $second $b"
    pause 2
    "${second}_off" "$b"
    pause 0
    "${first}_off" "$a"
    FAULTS=$((FAULTS + 2))
  done
}

# race N: two operators publish at the same time, on the same base revision,
# through two routers. At most one may be told that it succeeded, and its revision
# must then be in the audit trail. A refused revision must not be there.
race() {
  local base a b won
  eventually know_newest
  base=$NEWEST
  "$BIN" --output json apply --admin "$(admin r1)" --author "asha-$1" --base "$base" "$WORK_DIR/set.ini" >"$WORK_DIR/race-a" 2>&1 &
  a=$!
  "$BIN" --output json apply --admin "$(admin r3)" --author "vikram-$1" --base "$base" "$WORK_DIR/set.ini" >"$WORK_DIR/race-b" 2>&1 &
  b=$!
  wait "$a"
  a=$?
  wait "$b"
  b=$?
  won=$(((a == 0) + (b == 0)))
  echo "      race $1 on revision $base: exit codes $a and $b"
  prove R7 "at most one of two operators succeeds on base $base" test "$won" -le 1
  prove R7 "revisions have no gap and one author each" eventually audit_dense
  [ "$a" != 0 ] || prove R7 "the first operator's revision is in the audit trail" eventually audited "$((base + 1))" "asha-$1"
  [ "$b" != 0 ] || prove R7 "the second operator's revision is in the audit trail" eventually audited "$((base + 1))" "vikram-$1"
  [ "$a" != 3 ] || prove R7 "the first operator was refused and published nothing" eventually not_audited "asha-$1"
  [ "$b" != 3 ] || prove R7 "the second operator was refused and published nothing" eventually not_audited "vikram-$1"
}

# know_newest: sets NEWEST to the newest published revision.
know_newest() {
  NEWEST=$(newest r1)
  [ -n "$NEWEST" ]
}

# audit: prints the audit trail, one line REVISION AUTHOR for each record, newest
# first.
audit() {
  "$BIN" --output json audit --admin "$(admin r1)" 2>/dev/null >"$WORK_DIR/audit.json" || return 1
  grep -o '"revision":[0-9]*\|"author":"[^"]*"' "$WORK_DIR/audit.json" | paste -d' ' - - | sed 's/"[a-z]*"://g; s/"//g'
}
audit_dense() {
  local list
  list=$(audit) || return 1
  [ -n "$list" ] && awk 'NR > 1 && $1 != last - 1 { exit 1 } { last = $1 }' <<<"$list"
}
audited() { audit | grep -q "^$1 $2$"; }
not_audited() {
  local list
  list=$(audit) && [ -n "$list" ] && ! grep -q " $1$" <<<"$list"
}

# engine_number ENGINE FIELD: prints a number from the engine's statistics.
engine_number() { http GET "${ADDRESS[$1]}" /standin/stats | grep -o "\"$2\":[0-9]*" | head -n 1 | cut -d: -f2; }

# started_more ENGINE N: succeeds if the engine has started more than N requests.
started_more() { [ "$(engine_number "$1" runs)" -gt "$2" ]; }

# leave_engine ENGINE OTHER: the engine reports that it is leaving. By its own
# clock, the last new request must arrive within LEAVING_MS: 1 s until the next
# load report, 1 s within which a grant may be used (FAST), and 1 s for
# transferring the report and the request. The other engine of the failure
# domain continues.
readonly LEAVING_MS=3000
leave_engine() {
  local last
  post "${ADDRESS[$1]}" /standin/behavior '{"leaving":true}'
  pause 4
  check "engine $2 continues while $1 is leaving" eventually started_more "$2" "$(($(engine_number "$2" runs) + 5))"
  last=$(engine_number "$1" last_new_while_leaving_ms)
  echo "      $1 got $(engine_number "$1" new_while_leaving) new requests while leaving, the last one after $last ms"
  TRIED[R5]=$((${TRIED[R5]:-0} + $(engine_number "$2" runs)))
  prove R5 "leaving engine $1 got no new request after $LEAVING_MS ms" test "$last" -le "$LEAVING_MS"
  post "${ADDRESS[$1]}" /standin/behavior '{}'
}

# drain_engine ENGINE OTHER: once all routers use a revision that drains the
# engine, and the grants given before have expired, the engine must start no more
# requests while the other engine does.
drain_engine() {
  local before
  check "engine $1 is drained" eventually "$BIN" drain --admin "$(admin r2)" --author verify auburnlead-pool "$1"
  check "the draining revision is in force everywhere" eventually all_in_force
  sleep 1.5 # the time within which a grant must be used, and half a second
  before=$(engine_number "$1" runs)
  check "engine $2 continues while $1 is drained" eventually started_more "$2" "$(($(engine_number "$2" runs) + 20))"
  TRIED[R5]=$((${TRIED[R5]:-0} + $(engine_number "$2" runs)))
  prove R5 "drained engine $1 starts no request" test "$(engine_number "$1" runs)" = "$before"
}

# stop_router_in_flight ROUTER: sends SIGTERM to the router while four long
# streams run through it.
stop_router_in_flight() {
  local i pids=()
  for i in 1 2 3 4; do
    chat "long$i" "$1" --message "Draft notice $i." --max-tokens 200 2>/dev/null &
    pids+=($!)
  done
  sleep 0.5
  stop_gracefully "$1"
  prove R6 "router $1 exits with 0 on SIGTERM under load" test "$(exit_code "$1")" = 0
  for i in 1 2 3 4; do
    TRIED[R6]=$((${TRIED[R6]:-0} + 1))
    prove R6 "stream $i in flight through $1 completes" wait "${pids[i - 1]}"
  done
}

# engine_bound ENGINE: records the engine's largest number of requests in flight.
engine_bound() {
  local stats n
  stats=$(http GET "${ADDRESS[$1]}" /standin/stats)
  n=$(grep -o '"max_in_flight":[0-9]*' <<<"$stats" | head -n 1)
  RUNS=$((RUNS + $(grep -o '^{"id":"[^"]*","runs":[0-9]*' <<<"$stats" | grep -o '[0-9]*$')))
  echo "$1 ${n#*:}" >>"$WORK_DIR/bounds"
}

# engines_within_bound: succeeds if no engine had more than max_in_flight requests
# in flight.
engines_within_bound() {
  cat "$WORK_DIR/bounds"
  awk -v max="$MAX_IN_FLIGHT" '$2 > max || $2 == "" { bad = 1 } END { exit bad }' "$WORK_DIR/bounds"
}

# revisions_rise: succeeds if no router process reported an older revision after it
# had reported a newer one.
revisions_rise() {
  cat "$WORK_DIR"/revisions-* | awk '$2 < last[$1] { print $1 " went from " last[$1] " to " $2; bad = 1 } { last[$1] = $2 } END { exit bad }'
}

# bookings_true: succeeds if every response to a booking agrees with the journals
# of the services.
bookings_true() {
  local f files=()
  for f in "$WORK_DIR"/book*.jsonl; do files+=("--bookings=$f"); done
  "$BIN" load check "${files[@]}" --journal "s1=${ADDRESS[s1]}" --journal "s2=${ADDRESS[s2]}" | tee "$WORK_DIR/checked.json"
  return "${PIPESTATUS[0]}"
}

# publish_newer: publishes one more revision through the first running router that
# accepts it.
publish_newer() {
  local r
  for r in "${ROUTERS[@]}"; do
    [ -n "${PID[$r]:-}" ] || continue
    "$BIN" apply --admin "$(admin "$r")" --author verify "$WORK_DIR/set.ini" >/dev/null 2>&1 && return
  done
  return 1
}

# finish: waits for the load, publishes a new revision, stops the routers and
# checks the guarantees.
finish() {
  local e urls
  wait_load
  check "a revision is published after the faults" eventually publish_newer
  prove R7 "every router reaches the newest revision" eventually all_in_force
  mapfile -t urls < <(caller_urls)
  check "every shared key is requested again" "$BIN" load book "${urls[@]}" --path /v1/services/rota-desk/bookings --prefix shared- --keys 64 --rounds 1 --rate 200
  cp "$WORK_DIR/last.log" "$WORK_DIR/book4.jsonl"
  prove "R3 R4" "every response to a booking agrees with the journals" bookings_true
  for e in "${ENGINES[@]}"; do [ -z "${PID[$e]:-}" ] || engine_bound "$e"; done
  prove R1 "no engine had more than $MAX_IN_FLIGHT requests in flight" engines_within_bound
  prove R7 "no router process went back to an older revision" revisions_rise
  for e in "${ROUTERS[@]}"; do
    [ -n "${PID[$e]:-}" ] || continue
    stop_gracefully "$e"
    TRIED[R6]=$((${TRIED[R6]:-0} + 1))
    prove R6 "router $e exits with 0 on SIGTERM" test "$(exit_code "$e")" = 0
  done
}

# count FIELD FILE...: prints the sum of a numeric field over JSON files.
count() {
  local field=$1
  shift
  grep -ho "\"$field\":[0-9]*" "$@" | cut -d: -f2 | awk '{ n += $1 } END { print n + 0 }'
}
