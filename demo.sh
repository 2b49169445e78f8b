#!/usr/bin/env bash
# Runs laburnumpoint with separate processes on this machine: the stand-in platform, an office's runners and three entry
# VMs' daemons. It runs a service, a batch, a gang and urgent requests, kills one entry VM under load, and stops
# everything it started. Then it does the like for graph jobs: steps, a gang, a cancellation, occurrences, and a killed
# owner. The exit code is 0 only if all went well.
#
# Usage: ./demo.sh [galwad|rimac|graphs]...     all if none is named
# DEMO_VICTIM is the entry VM that is killed, 0 to 2 (0).
set -euo pipefail
cd "$(dirname "$0")"

readonly VICTIM=${DEMO_VICTIM:-0}
readonly ENTRY_VMS=3
readonly READY_TRIES=300 # of 0.1 s each

work=$(mktemp -d)
pids=()

stop_all() {
  local pid
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  pids=()
}

finish() {
  local code=$?
  stop_all
  if [ "$code" -ne 0 ]; then
    echo "The demonstration failed. Logs: $work" >&2
  else
    rm -rf "$work"
  fi
  exit "$code"
}
trap finish EXIT

say() { printf '\n== %s\n' "$*"; }

# start NAME PROGRAM ARGS... starts a program in the background; its pid is the last of pids.
start() {
  local name=$1
  shift
  "$@" >"$dir/$name.out" 2>"$dir/$name.log" &
  pids+=($!)
}

# wait_for TEXT COMMAND... repeats the command until it succeeds.
wait_for() {
  local text=$1 try
  shift
  for ((try = 0; try < READY_TRIES; try++)); do
    if "$@" >/dev/null 2>&1; then return 0; fi
    sleep 0.1
  done
  echo "not in time: $text" >&2
  return 1
}

# is_ready ADDRESS asks an entry VM as the balancer does.
is_ready() {
  exec 3<>"/dev/tcp/${1%:*}/${1##*:}" || return 1
  printf 'GET /readyz HTTP/1.0\r\n\r\n' >&3
  local status
  read -r status <&3
  exec 3<&- 3>&-
  [[ $status == *" 200 "* ]]
}

has_addr() { grep -q '"addr":"' "$1"; }
has_listen() { grep -q '"listen":"' "$1"; }
serves_callers() { grep -q '"what":"callers"' "$1"; }

# addr_of LOG prints the address that a stand-in logged; listen_of the one that a daemon serves callers at.
addr_of() { sed -n 's/.*"addr":"\([^"]*\)".*/\1/p' "$1" | head -1; }
listen_of() { sed -n 's/.*"listen":"\([^"]*\)".*/\1/p' "$1" | head -1; }

tool() { bin/laburnumpoint --server "$servers" --caller demo "$@"; }

# run_jobs TEAM POOL MEDIA_POOL runs the service, the batch and the gang.
run_jobs() {
  say "A service of 4 tasks, a batch of 60 and a gang of 6 that starts together"
  tool job submit --id feeds --kind service --count 4 --team "$1" --pool "$2"
  tool job submit --id nightly --kind batch --count 60 --team "$1" --pool "$2" --payload '{"run_ms":200}'
  tool job submit --id frames --kind gang --count 6 --team "$1" --pool "$3" --accelerators 1 --payload '{"run_ms":500}'
  tool job status --wait 60s feeds
  tool job status --wait 60s frames
  tool job status --wait 120s nightly
}

# run_urgent TEAM POOL runs urgent requests.
run_urgent() {
  say "One urgent request and its answer"
  tool run --class urgent --team "$1" --pool "$2" --payload '{"run_ms":20,"echo":"revision 12"}'
  say "Urgent requests over 3 s, and their waiting times"
  tool load --seed 1 --rate 40 --duration 3s --mix "urgent:$1:$2=1" --run-max 30ms
}

# ask_why TEAM POOL asks why a task is where it is, and submits a job that can never run.
ask_why() {
  say "Why a task is where it is, and a job that fits nowhere"
  tool why feeds/0
  if tool job submit --id impossible --kind batch --team "$1" --pool "$2" --accelerators 99; then
    echo "a job that fits nowhere was accepted" >&2
    return 1
  fi
}

# kill_one TEAM POOL kills the first entry VM's daemon in the middle of a load of retrying callers.
kill_one() {
  say "An entry VM is killed under load; its callers send their requests again"
  tool load --seed 2 --rate 60 --duration 12s --timeout 60s --retry-for 120s --run-max 200ms \
    --mix "urgent:$1:$2=1" --mix "normal:$1:$2=4" --non-idempotent-share 0.2 --record "$dir/calls.jsonl" &
  local load=$!
  sleep 5
  kill -9 "$victim"
  wait "$victim" 2>/dev/null || true # reaps it
  echo "killed process $victim"
  wait "$load"
}

# judge checks what callers were told against what the workers ran.
judge() {
  say "Callers' and workers' records, judged together"
  tool check "$dir/calls.jsonl" "$dir/leases.jsonl"
}

operate() {
  say "Operators: shards, a patch against a stale version, a drained worker"
  tool shards
  local base worker
  base=$(tool --json config history --limit 1 | sed -n 's/.*"version": \([0-9]*\).*/\1/p' | head -1)
  tool config patch --base "$base" --merge '{"packing_weight":0.7}'
  if tool config patch --base "$base" --merge '{"packing_weight":0.1}'; then
    echo "a stale patch was accepted" >&2
    return 1
  fi
  worker=$(tool workers | awk 'NR == 2 { print $1 }')
  tool drain "$worker"
  tool undrain "$worker"
  tool teams
}

# start_entry_vms PLATFORM starts the daemons, waits until they are ready, and sets servers and victim.
start_entry_vms() {
  local i addr list=()
  for ((i = 0; i < ENTRY_VMS; i++)); do
    start "entry$i" bin/laburnumpointd --listen 127.0.0.1:0 --peer-listen 127.0.0.1:0 --zone "entry-$i" \
      --platform "$1" --bootstrap-config "$dir/config.json" --drain-delay 500ms --stop-timeout 15s
    if ((i == VICTIM)); then victim=${pids[-1]}; fi
  done
  for ((i = 0; i < ENTRY_VMS; i++)); do
    wait_for "entry VM $i listens" has_listen "$dir/entry$i.log"
    addr=$(listen_of "$dir/entry$i.log")
    wait_for "entry VM $i is ready" is_ready "$addr"
    list+=("$addr")
  done
  servers=$(IFS=,; echo "${list[*]}")
}

demo() {
  local shape=$1 team=$2 pool=$3 media=$4 zones=$5
  dir="$work/$shape"
  mkdir -p "$dir"
  say "Office $shape: the platform, 48 runners and $ENTRY_VMS entry VMs start"
  printf '{"packing_weight":0.5,"max_queued_per_shard":20000,"urgent_wait_ms":2200,"ageing_step_ms":60000,"zones":[%s],"shards_per_zone":1,"teams":{"%s":{"weight":1,"may_urgent":true}}}' \
    "$zones" "$team" >"$dir/config.json"
  start platform bin/laburnumpoint-standin platform --listen 127.0.0.1:0
  wait_for "platform" has_addr "$dir/platform.log"
  local platform
  platform=$(addr_of "$dir/platform.log")
  start runners bin/laburnumpoint-standin runners --platform "$platform" --shape "$shape" --grace 1s --history "$dir/leases.jsonl"
  start_entry_vms "$platform"
  tool members
  run_jobs "$team" "$pool" "$media"
  run_urgent "$team" "$pool"
  ask_why "$team" "$pool"
  operate
  kill_one "$team" "$pool"
  say "The service still runs, now owned by the entry VMs that are left"
  tool job status --wait 60s feeds
  tool members
  say "Everything of office $shape stops"
  stop_all
  judge
}

# graph_addr OUT WHAT prints the address where a daemon for graph jobs serves WHAT.
graph_addr() { sed -n "s/.*\"what\":\"$2\",\"listen\":\"\([^\"]*\)\".*/\1/p" "$1" | head -1; }

graph_tool() { tool graph "$@"; }

# start_graph_vms STORE starts the daemons for graph jobs, and sets servers.
start_graph_vms() {
  local i list=()
  for ((i = 0; i < ENTRY_VMS; i++)); do
    start "graph$i" bin/laburnumpointd graphs --node "graph$i" --zone "entry-$i" --store "$1" --balancer-delay 500ms --stop-grace 15s --require-keys
    graph_pids+=("${pids[-1]}")
  done
  for ((i = 0; i < ENTRY_VMS; i++)); do
    wait_for "daemon $i serves callers" serves_callers "$dir/graph$i.out"
    wait_for "daemon $i is ready" is_ready "$(graph_addr "$dir/graph$i.out" readiness)"
    list+=("$(graph_addr "$dir/graph$i.out" callers)")
  done
  servers=$(IFS=,; echo "${list[*]}")
}

# kill_graph_owner kills the daemon that owns the cell.
kill_graph_owner() {
  local i
  for ((i = 0; i < ENTRY_VMS; i++)); do
    if grep -q '"message":"ownership taken"' "$dir/graph$i.out"; then
      kill -9 "${graph_pids[i]}"
      wait "${graph_pids[i]}" 2>/dev/null || true # reaps it
      echo "killed process ${graph_pids[i]}, the owner"
      return 0
    fi
  done
  echo "no daemon owns the cell" >&2
  return 1
}

demo_graphs() {
  dir="$work/graphs"
  graph_pids=()
  mkdir -p "$dir"
  say "Graph jobs: a store, 8 workers and $ENTRY_VMS entry VMs start"
  printf '{"version":1,"queues":[{"name":"nightly","pool":"workers","attempts":2,"stretch":2,"target_ms":500}],
    "organisations":[{"name":"sparks","keys":["demo-key"],"weight":10}]}' >"$dir/queues.json"
  export LABURNUMPOINT_KEY=demo-key
  start site bin/laburnumpoint-standin graphs --listen 127.0.0.1:0 --queues "$dir/queues.json"
  local site=${pids[-1]}
  wait_for "store and workers" has_addr "$dir/site.log"
  start_graph_vms "$(addr_of "$dir/site.log")"
  say "Fetch, then a gang of 4, then print: three steps, one after the other"
  graph_tool submit --queue nightly --id 00000000000000a1 - <<<'{"payload":"{\"run_ms\":300,\"gangs\":{\"1\":4}}","steps":[
    {"count":6,"milli_cpu":1000,"estimate_ms":300},{"count":4,"milli_cpu":4000,"accelerators":1,"gang":true,"after":[0],"estimate_ms":300},
    {"count":2,"milli_cpu":1000,"label":"fast","after":[1],"estimate_ms":300}]}'
  graph_tool status --queue nightly --wait 30s 00000000000000a1
  say "A standing task, why it is where it is, and its cancellation"
  graph_tool submit --queue nightly --id 00000000000000a2 - <<<'{"payload":"{\"forever\":true}","steps":[{"count":2,"milli_cpu":1000,"long_running":true}]}'
  tool why --queue nightly 00000000000000a2
  graph_tool cancel --queue nightly 00000000000000a2
  say "Two occurrences a second apart"
  graph_tool submit --queue nightly --id 00000000000000a3 - <<<"{\"payload\":\"{\\\"run_ms\\\":50}\",\"steps\":[{\"count\":3}],
    \"occurrences\":2,\"interval_ms\":1000,\"start_at\":\"$(date -u -d '+1 second' +%Y-%m-%dT%H:%M:%SZ)\"}"
  graph_tool status --queue nightly --wait 30s 00000000000000a3
  say "The owner is killed while tasks run; another daemon goes on"
  graph_tool submit --queue nightly --id 00000000000000a4 - <<<'{"payload":"{\"run_ms\":1500}","steps":[{"count":8,"milli_cpu":4000},{"count":8,"after":[0]}]}'
  sleep 0.5
  kill_graph_owner
  graph_tool status --queue nightly --wait 60s 00000000000000a4
  graph_tool pending --queue nightly
  say "A job for a queue that does not exist is refused"
  if graph_tool submit --queue other - <<<'{"payload":"","steps":[{"count":1}]}'; then
    echo "a job for an unknown queue was accepted" >&2
    return 1
  fi
  say "A call with an unknown key is refused"
  if graph_tool --key unknown pending --queue nightly; then
    echo "a call with an unknown key was answered" >&2
    return 1
  fi
  say "The store and the workers stop; no task ran twice"
  kill "$site"
  wait "$site"
  stop_all
}

go build -o bin/ ./cmd/...
for shape in "${@:-galwad rimac graphs}"; do
  for office in $shape; do
    case "$office" in
      galwad) demo galwad callsheet callsheet media '"cardiff","swansea","wrexham","aberystwyth"' ;;
      rimac) demo rimac exchange exchange imaging '"barranco","lince","jesus-maria","brena"' ;;
      graphs) demo_graphs ;;
      *) echo "no demonstration $office; there are galwad, rimac and graphs" >&2; exit 2 ;;
    esac
  done
done
say "All went well"
