# Holds connections of callers outside the limits open at each listener, with
# lowered limits.  Fails if a process ends, exceeds the memory or the descriptors
# that its settings name, or no longer answers an ordinary request.  Memory is
# what has been resident at most (VmHWM), so each case has its own processes.
# With RST_CROWD_FIGURES=1, prints the figures of each case to standard error.
# With RST_CROWD_NO_LIMITS=1, the settings name no limits; this is for programs
# that don't know these settings.
. test/run/lib.sh
memory_mb=32
max_fds=300
limits="\"limits\": { \"memory_mb\": $memory_mb, \"max_fds\": $max_fds }"
[ -z "${RST_CROWD_NO_LIMITS:-}" ] || limits=""

# add_limits NAME - adds the limits to a daemon's settings.
add_limits ()
{
  [ -z "$limits" ] || sed -i "0,/{/s//{ $limits,/" "$run_dir/$1.json"
}

# check_process NAME - checks that a process lives and is within its limits.
check_process ()
{
  local pid=${pid_of[$1]} memory_kb descriptors

  if ! kill -0 "$pid" 2>/dev/null
  then
    echo "$1 has ended"
    return
  fi
  memory_kb=$(awk '/^VmHWM:/ { print $2 }' "/proc/$pid/status")
  descriptors=$(find "/proc/$pid/fd" -mindepth 1 | wc -l)
  [ -z "${RST_CROWD_FIGURES:-}" ] \
    || echo "$case_name: $1 VmHWM $memory_kb kB, $descriptors descriptors" >&2
  # Sanitizers use memory of their own.
  [ -n "${RST_CROWD_ANY_MEMORY:-}" ] \
    || [ "$memory_kb" -le $((memory_mb * 1024)) ] \
    || echo "$1 used more than $memory_mb MB"
  [ "$descriptors" -le $max_fds ] \
    || echo "$1 has more than $max_fds descriptors open"
}

# start_crowd ADDRESS MEMBERS - starts callers that hold their connections open.
start_crowd ()
{
  echo "{ \"address\": \"$1\", $2 }" >"$run_dir/crowd.json"
  start_program crowd standin-crowd "$run_dir/crowd.json"
}

# answers COMMAND... - whether a command that sends a request prints status 200.
answers ()
{
  "$@" 2>/dev/null | grep -q '^200'
}

# check_case DAEMON ADDRESS MEMBERS COMMAND... - runs a crowd against ADDRESS of
# DAEMON and then the command, which sends an ordinary request, while the crowd
# still holds its connections.
check_case ()
{
  start_crowd "$2" "$3"
  sleep 0.3
  # A rejected or closed request is sent again, as callers do.
  if wait_for 20 answers "${@:4}"
  then
    echo "ordinary request answered"
  else
    echo "ordinary request not answered"
  fi
  check_process "$1"
  kill_process crowd
}

# run_cases RUN - runs the cases of callers' listeners by "RUN CASE MEMBERS".
run_cases ()
{
  "$1" "whole bodies, one byte short" \
    '"mode": "length", "connections": 160, "missing": 1'
  "$1" "bodies in pieces of 4 KB, one byte short" \
    '"mode": "length", "connections": 160, "piece": 4096, "missing": 1'
  "$1" "chunks of 64 KB, one byte short" \
    '"mode": "chunked", "connections": 160, "piece": 65536, "missing": 1'
  "$1" "chunks of 7 bytes, one byte short" \
    '"mode": "chunked", "connections": 160, "piece": 7, "missing": 1'
  "$1" "complete bodies" '"mode": "length", "connections": 160'
  "$1" "bodies of many objects" \
    '"mode": "length", "connections": 20, "fill": "objects"'
  "$1" "bodies of many values" \
    '"mode": "length", "connections": 20, "fill": "values"'
  "$1" "headers without an end" \
    '"mode": "headers", "connections": 400, "bytes": 6000'
  "$1" "connections without a request" \
    '"mode": "silent", "connections": 500'
}

# ---- jobd ------------------------------------------------------------------

# submit_job - submits a job of one task and prints the status.
submit_job ()
{
  curl -s --max-time 5 -o /dev/null -w '%{http_code}' -H 'Host: h.example' \
    -H 'X-Rosemarystile-Key: key-1' -d '{"spec":"20","phases":[{"cpu":500}]}' \
    "http://${http_address_of[jobd-e2]}/q/$(printf '%016x' "$RANDOM$RANDOM")"
}

# get_metrics NAME - prints the status of a metrics page.
get_metrics ()
{
  curl -s --max-time 5 -o /dev/null -w '%{http_code}' \
    "http://${metrics_address_of[$1]}/metrics"
}

# pick_port - prints a port that was free, for listeners whose address no
# program prints.
pick_port ()
{
  start_program pick standin-list "$run_dir/pick.json" >/dev/null || return 1
  kill_process pick
  picked_port=${http_address_of[pick]#*:}
}

# start_limited PROGRAM NAME MEMBERS - starts celld or jobd with limits, and
# restarts it if another process took the port of its metrics page.
start_limited ()
{
  local i

  for i in 1 2 3
  do
    pick_port || return 1
    cat >"$run_dir/$1-$2.json" <<END
{ "name": "$2", "availability_zone": "z1", "listen": "127.0.0.1:0",
  "metrics": "127.0.0.1:$picked_port",
  "store": "${http_address_of[platform]}", $3 }
END
    add_limits "$1-$2"
    start_platform_daemon "$1-$2" "rosemarystile-$1" "$run_dir/$1-$2.json" \
      >"$run_dir/start.out" || continue
    metrics_address_of[$1-$2]=127.0.0.1:$picked_port
    return 0
  done
  cat "$run_dir/start.out"
  return 1
}

start_limited_jobd ()
{
  start_limited jobd e2 '"readiness": "127.0.0.1:0"'
}

start_limited_celld ()
{
  start_limited celld e1 "\"advice\": \"${http_address_of[platform]}\""
}

run_jobd_case ()
{
  case_name="jobd: $1"
  echo "# $case_name"
  start_limited_jobd || return
  wait_for 20 answers submit_job || echo "jobd serves no caller"
  check_case jobd-e2 "${http_address_of[jobd-e2]}" \
    "\"path\": \"/q/00000000000f0000\", \"key\": \"key-1\", $2" submit_job
  kill_process jobd-e2
}

run_jobd_page_case ()
{
  case_name="jobd: $1"
  echo "# $case_name"
  start_limited_jobd || return
  check_case jobd-e2 "${metrics_address_of[jobd-e2]}" "$2" get_metrics jobd-e2
  kill_process jobd-e2
}

declare -A metrics_address_of
echo '{ "listen": "127.0.0.1:0" }' >"$run_dir/pick.json"
start_platform 4 || exit 1
put_operator_key op/config '{"version":3,
 "routes":[{"name":"q","host":"h.example","prefix":"/q/","service":"pool",
   "priority":1,"attempts":3,"slack_factor":2.0,"target_latency_ms":500}],
 "services":[{"name":"pool"}],
 "tenants":[{"name":"t","api_keys":["key-1"],"weight":100}]}'
start_limited_celld || exit 1
wait_for 20 grep -q 'Planner is ready' "$run_dir/celld-e1.log" \
  || echo "celld-e1 is not the planner"
run_cases run_jobd_case
run_jobd_page_case "metrics page, headers without an end" \
  '"mode": "headers", "connections": 40, "bytes": 2000'

# ---- celld -----------------------------------------------------------------

case_name="celld: metrics page, headers without an end"
echo "# $case_name"
check_case celld-e1 "${metrics_address_of[celld-e1]}" \
  '"mode": "headers", "connections": 40, "bytes": 2000' get_metrics celld-e1
kill_process celld-e1

start_jobd e2 || exit 1
run_peer_case ()
{
  case_name="celld: $1"
  echo "# $case_name"
  start_limited_celld || return
  wait_for 20 answers submit_job || echo "the planner serves no caller"
  check_case celld-e1 "${http_address_of[celld-e1]}" "$2" submit_job
  kill_process celld-e1
}
run_peer_case "peers' frames without an end" \
  '"mode": "frame", "connections": 60, "bytes": 1000000, "drip_ms": 200'
run_peer_case "peers that say nothing" \
  '"mode": "silent", "connections": 500'
kill_all_processes

# ---- entryd ----------------------------------------------------------------

# send_query - sends a query and prints the status.
send_query ()
{
  curl -s --max-time 5 -o /dev/null -w '%{http_code}' \
    -H "Authorization: Bearer $alpha" -d '{"n":1}' \
    "http://${http_address_of[entryd-e1]}/v1/requests"
}

run_entryd_case ()
{
  case_name="entryd: $1"
  echo "# $case_name"
  kill_process entryd-e1
  add_limits entryd-e1
  start_program entryd-e1 rosemarystile-entryd "$run_dir/entryd-e1.json" \
    || return
  wait_for 20 answers send_query || echo "entryd serves no caller"
  check_case entryd-e1 "${http_address_of[entryd-e1]}" \
    "\"path\": \"$entry_path\", \"key\": \"$alpha\", $2" send_query
  # The next case writes the limits again.
  cp "$run_dir/entryd-plain.json" "$run_dir/entryd-e1.json"
}

# get_status NAME - prints the HTTP status of a scheduler's status page.
get_status ()
{
  curl -s --max-time 5 -o /dev/null -w '%{http_code}' \
    "http://${http_address_of[$1]}/status"
}

entry=e1
start_cell 1 2 1
cp "$run_dir/entryd-e1.json" "$run_dir/entryd-plain.json"
ctl team set alpha --share 1 >/dev/null
alpha=$(grant_key alpha main)
entry_path=/v1/jobs
run_cases run_entryd_case

# ---- schedd ----------------------------------------------------------------

kill_process schedd-e1
add_limits schedd-e1
start_program schedd-e1 rosemarystile-schedd "$run_dir/schedd-e1.json" || exit 1
case_name="schedd: status page, headers without an end"
echo "# $case_name"
check_case schedd-e1 "${http_address_of[schedd-e1]}" \
  '"mode": "headers", "connections": 400, "bytes": 2000' get_status schedd-e1
kill_process schedd-e1
start_program schedd-e1 rosemarystile-schedd "$run_dir/schedd-e1.json" || exit 1
case_name="schedd: peers' frames without an end"
echo "# $case_name"
check_case schedd-e1 "${frame_address_of[schedd-e1]}" \
  '"mode": "frame", "connections": 60, "bytes": 1000000, "drip_ms": 200' get_status schedd-e1
