# Functions of the second review's scripts.  A script sources this file from
# the repository root and sets $case_dir first.  Programs are those of the
# deploy file under target/ and the stand-ins of review/build-2.sh.
set -u
export LC_ALL=C
bin_dir=target
record=$case_dir/record.txt
run_dir=$(mktemp -d)
log_level=info
: >"$record"
events=$run_dir/events.txt
: >"$events"
trouble=${TROUBLE:-1}
. tools/lib/cluster.sh
trap 'kill_all_processes; rm -rf "$run_dir"' EXIT
trap 'exit 2' INT TERM

# say TEXT... - adds a line to the record.
say ()
{
  echo "$(date +%s%3N) $*" | tee -a "$record"
}

# give_up TEXT... - ends a case that could not run.
give_up ()
{
  say "CASE DID NOT RUN: $*"
  exit 2
}

# finish_with STATUS TEXT... - adds the runners' events to the record and ends.
finish_with ()
{
  local status=$1

  shift
  {
    echo "--- what the runners saw (time in ms, runner, incarnation, event)"
    sort -n -s -k 1,1 "$events" | tail -n 4000
    echo "--- warnings of the daemons"
    sed 's/^[0-9.]* //' "$run_dir"/celld-*.log "$run_dir"/jobd-*.log \
      2>/dev/null | grep ' warning: ' | sort | uniq -c | sort -rn | head -20
    echo "---"
  } >>"$record"
  say "RESULT $status: $*"
  exit "$status"
}

# start_celld2 NAME [STORE] - starts the deploy file's celld, with the settings
# that deploy/celld.json makes of a small deployment.
start_celld2 ()
{
  cat >"$run_dir/celld-$1.json" <<EOF
{
  "name": "$1",
  "availability_zone": "z1",
  "listen": "127.0.0.1:0",
  "store": "${2:-${http_address_of[platform]}}",
  "advice": "${http_address_of[platform]}",
  "lease_max_ms": 6000,
  "status_s": 120,
  "early_ms": 250,
  "machine": { "cpu_share": "0.25", "link_mbps": "1000" }
}
EOF
  start_platform_daemon "celld-$1" rosemarystile-celld "$run_dir/celld-$1.json"
}

# start_jobd2 NAME [STORE]
start_jobd2 ()
{
  cat >"$run_dir/jobd-$1.json" <<EOF
{
  "name": "$1",
  "availability_zone": "z1",
  "listen": "127.0.0.1:0",
  "readiness": "127.0.0.1:0",
  "store": "${2:-${http_address_of[platform]}}"
}
EOF
  start_platform_daemon "jobd-$1" rosemarystile-jobd "$run_dir/jobd-$1.json"
}

# start_runner ID - starts a runner of the pool "runners", 16 cores, 64 GB.
start_runner ()
{
  target/review-runner "$1" z1 runners 16000 65536 \
    "${http_address_of[platform]}" "$events" \
    >"$run_dir/runner-$1.out" 2>>"$run_dir/runner-$1.log" &
  pid_of[runner-$1]=$!
  wait_for_start "runner-$1" '^ready' "$run_dir/runner-$1.out"
}

# call ENTRY METHOD PATH [BODY] - one call of a client to a jobd; sets $status
# and $body and adds it to the record.
call ()
{
  local data=()

  [ $# -gt 3 ] && data=(-d "$4")
  status=$(curl -sS --max-time 4 -o "$run_dir/body" -w '%{http_code}' \
    -X "$2" -H 'Host: h.example' -H "X-Rosemarystile-Key: ${key:-key-1}" \
    -H 'Content-Type: application/json' \
    -H 'X-Rosemarystile-Deadline-Ms: 3000' "${data[@]}" \
    "http://${http_address_of[jobd-$1]}$3" 2>/dev/null)
  body=$(cat "$run_dir/body" 2>/dev/null)
  : >"$run_dir/body"
  say "client -> $1: $2 $3 -> ${status:-none} $(echo "$body" | tr -d '\n' | cut -c 1-120)"
}

# wait_until SECONDS COMMAND... - repeats a command until it succeeds.
wait_until ()
{
  local until=$((SECONDS + $1))

  shift
  while [ "$SECONDS" -lt "$until" ]
  do
    "$@" && return 0
    sleep 0.2
  done
  return 1
}

# submit ENTRY PATH BODY - hands a job in; fails if it is not accepted.
submit ()
{
  call "$1" POST "$2" "$3"
  [ "$status" = 200 ]
}

# shows ENTRY PATH STATE - whether a job is shown in a state.
shows ()
{
  call "$1" GET "$2"
  echo "$body" | grep -q "\"state\":\"$3\""
}
