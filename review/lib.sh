# Functions of the scripts of this review.  A script sets $case_dir and calls
# begin_case; all processes that it starts are ended when it exits.
#
# Exit status of a script: 1 if the rule was broken, 0 if it held, 2 if the
# case could not run.  With TROUBLE=0 a script does the same without the
# disruption.
set -u
export LC_ALL=C
TROUBLE=${TROUBLE:-1}
cd "$(dirname "${BASH_SOURCE[0]}")/.." || exit 2
run_dir=$(mktemp -d) || exit 2
record=$case_dir/record.txt
declare -A pid_of address_of

clean_up ()
{
  local name

  for name in "${!pid_of[@]}"
  do
    kill -CONT "${pid_of[$name]}" 2>/dev/null
    kill -KILL "${pid_of[$name]}" 2>/dev/null
    wait "${pid_of[$name]}" 2>/dev/null
  done
  [ -n "${KEEP_LOGS:-}" ] && cp "$run_dir"/*.log "$KEEP_LOGS"
  rm -rf "$run_dir"
}
trap clean_up EXIT
trap 'exit 2' INT TERM

# note TEXT - writes a line to the record, after the Unix time in ms.
note ()
{
  echo "$(date +%s%3N) $*" >>"$record"
}

fail_to_run ()
{
  note "the case could not run: $*"
  echo "could not run: $*"
  exit 2
}

# wait_until SECONDS COMMAND... - repeats a command until it succeeds.
wait_until ()
{
  local until=$(($(date +%s%3N) + $1 * 1000))

  shift
  while ! "$@"
  do
    [ "$(date +%s%3N)" -lt $until ] || return 1
    sleep 0.2
  done
}

# begin_case GROUP... - starts the bed with runners, each group as
# ZONE:COUNT:CPU:MEM.
begin_case ()
{
  : >"$record"
  target/review/bed "$record" "$@" >"$run_dir/bed.out" 2>"$run_dir/bed.log" &
  pid_of[bed]=$!
  wait_until 10 grep -q '^ready' "$run_dir/bed.out" || fail_to_run "bed"
  bed=$(sed -n 's/^ready http=//p' "$run_dir/bed.out")
}

# control COMMAND - gives the bed a command and prints its answer.
control ()
{
  target/review/call GET "$bed" "/ctl/$1" | sed '1s/^[0-9]* //'
}

# put_operator_key KEY JSON - writes a key of the store, as the operator does.
put_operator_key ()
{
  note "the operator writes $1"
  target/review/call POST "$bed" /-/kv-txn "{\"expected_rev\":[],\"writes\":[{\"key\":\"$1\",
\"value\":\"$(printf '%s' "$2" | base64 -w 0)\"}],\"remove\":[]}" >/dev/null \
    || fail_to_run "the store does not answer"
}

# print_config VERSION KEYS - prints a configuration with one queue and one
# tenant, whose keys are given as JSON strings.
print_config ()
{
  cat <<EOF2
{"version":$1,"routes":[{"name":"r-q","host":"h.example","prefix":"/q/",
"kind":"non_idempotent","timeout_ms":3000,"target_latency_ms":1000,
"priority":1,"service":"pool","attempts":4,"slack_factor":2.2,"public":false}],
"services":[{"name":"pool","rejects_overload":false}],
"limits":{"max_body_bytes":262144},
"tenants":[{"name":"t","api_keys":[$2],"priority":1,"weight":100,
"cap":{"cpu":0,"mem_mb":0,"gpu":0}}]}
EOF2
}

# start_daemon NAME PROGRAM - starts a program with $run_dir/NAME.json, as the
# deploy file does, and waits until it serves.
start_daemon ()
{
  "${REVIEW_BIN:-target}/$2" --settings "$run_dir/$1.json" >>"$run_dir/$1.log" 2>&1 &
  pid_of[$1]=$!
  note "$1 starts, process ${pid_of[$1]}"
}

# start_machine NAME ZONE IP - starts jobd and celld of a machine, with the
# settings that the templates of the deploy file give.
start_machine ()
{
  cat >"$run_dir/celld-$1.json" <<EOF2
{ "name": "$1", "availability_zone": "$2", "listen": "$3:0",
  "store": "${store_of[$1]:-$bed}", "advice": "$bed", "lease_max_ms": 6000,
  "status_s": 120, "early_ms": 250,
  "machine": { "cpu_share": "${cpu_share:-0.25}", "link_mbps": "${link_mbps:-1000.0}" } }
EOF2
  cat >"$run_dir/jobd-$1.json" <<EOF2
{ "name": "$1", "availability_zone": "$2", "listen": "$3:0",
  "readiness": "$3:0", "store": "${store_of[$1]:-$bed}" }
EOF2
  : >"$run_dir/celld-$1.log"
  : >"$run_dir/jobd-$1.log"
  start_daemon "celld-$1" rosemarystile-celld
  start_daemon "jobd-$1" rosemarystile-jobd
  wait_until 10 grep -q 'Started\.' "$run_dir/celld-$1.log" \
    || fail_to_run "celld-$1"
  wait_until 10 grep -q 'Started\.' "$run_dir/jobd-$1.log" \
    || fail_to_run "jobd-$1"
  address_of[$1]=$(sed -n 's/.*Started\..*listen=\([^ ]*\).*/\1/p' \
    "$run_dir/jobd-$1.log" | tail -1)
}
declare -A store_of

# call MACHINE METHOD PATH [BODY] - makes a client's call; prints the status
# and the body.
call ()
{
  local answer

  answer=$(target/review/call "$2" "${address_of[$1]}" "$3" "${4:-}" \
    'Host: h.example' "X-Rosemarystile-Key: ${key:-key-1}" \
    'X-Rosemarystile-Deadline-Ms: 3000')
  note "client: $2 $3 at $1: $answer"
  echo "$answer"
}

# submit MACHINE ID BODY - hands a job in; tries again, as a client does, after
# no answer, 429, 502, 503 and 504.
submit ()
{
  local answer

  for _ in 1 2 3 4 5
  do
    answer=$(call "$1" POST "/q/$2" "$3")
    case $answer in
    200*) return 0 ;;
    esac
    sleep 0.5
  done
  return 1
}

# has_state MACHINE ID STATE
has_state ()
{
  call "$1" GET "/q/$2" | grep -q "\"state\":\"$3\""
}

# planner - prints the machine whose celld became the planner last.
planner ()
{
  grep -H 'This process is the planner' "$run_dir"/celld-*.log \
    | sed 's/.*epoch=\([0-9]*\).*/\1 &/' | sort -n | tail -1 \
    | sed 's/.*celld-\([^.]*\)\.log.*/\1/'
}

is_ready ()
{
  local name

  for name in "$@"
  do
    grep -q 'Planner is ready; serving callers' "$run_dir/jobd-$name.log" \
      || return 1
  done
}

# kill_daemon NAME - kills a process, as the disruption node_kill does.
kill_daemon ()
{
  note "$1 is killed"
  kill -KILL "${pid_of[$1]}"
  wait "${pid_of[$1]}" 2>/dev/null
}

# restart_machine NAME - stops both programs of a machine by SIGTERM and starts
# them again, as the disruption roll_term does.
restart_machine ()
{
  note "machine $1 gets SIGTERM"
  kill -TERM "${pid_of[celld-$1]}" "${pid_of[jobd-$1]}"
  wait "${pid_of[celld-$1]}" 2>/dev/null
  start_daemon "celld-$1" rosemarystile-celld
  wait "${pid_of[jobd-$1]}" 2>/dev/null
  start_daemon "jobd-$1" rosemarystile-jobd
}

# end_case - checks the rule TWICE and exits.
end_case ()
{
  local verdict

  verdict=$(control verdict)
  echo "$verdict"
  [ "$(echo "$verdict" | sed -n 's/.*"runs":\([0-9]*\).*/\1/p')" -gt 0 ] \
    || fail_to_run "no task ran"
  case $verdict in
  *'"at_once":0,"after_done":0'*) note "the rule held"; exit 0 ;;
  *) note "the rule TWICE was broken"; exit 1 ;;
  esac
}
