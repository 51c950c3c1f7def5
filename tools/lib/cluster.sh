# Functions that start the stand-ins and daemons of one cell on loopback and
# stop them by process id.  The caller sets $bin_dir to the directory of the
# programs and $run_dir to a directory for settings and logs.  The kernel
# chooses every port.

# Process id, HTTP address and address of the frame listener of each started
# program, by the name that it was started under; of jobds also the address of
# the readiness probe.
declare -A pid_of frame_address_of http_address_of readiness_address_of
log_level=${log_level:-warning}

# wait_for_start NAME PATTERN FILE - waits until FILE has a line that matches
# PATTERN and stores that line in $start_line.  Fails and prints the program's
# log if the program exits first or the line doesn't appear within about 10 s.
wait_for_start ()
{
  local i

  for i in $(seq 1 500)
  do
    start_line=$(grep -m 1 "$2" "$3" 2>/dev/null)
    [ -n "$start_line" ] && return 0
    kill -0 "${pid_of[$1]}" 2>/dev/null || break
    sleep 0.02
  done
  echo "$1 did not start:"
  cat "$run_dir/$1.log"
  return 1
}

# get_start_field KEY - prints the value of KEY=VALUE in $start_line, or "".
get_start_field ()
{
  echo "$start_line" | sed -n "s/.*$1=\\([^ ]*\\).*/\\1/p"
}

# start_program NAME PROGRAM SETTINGS - starts a program in the shell's own
# process group and waits for its line "ready" on standard output.
start_program ()
{
  # The program's earlier line must not be read.
  rm -f "$run_dir/$1.out"
  "$bin_dir/$2" --settings "$3" >"$run_dir/$1.out" 2>>"$run_dir/$1.log" &
  pid_of[$1]=$!
  wait_for_start "$1" '^ready' "$run_dir/$1.out" || return 1
  http_address_of[$1]=$(get_start_field http)
  frame_address_of[$1]=$(get_start_field frames)
}

# start_platform_daemon NAME PROGRAM SETTINGS - starts a daemon of the users'
# platform, which logs to standard output, and waits for its log line
# "Started.".
start_platform_daemon ()
{
  # The program's earlier line must not be read.
  rm -f "$run_dir/$1.log"
  "$bin_dir/$2" --settings "$3" >"$run_dir/$1.log" 2>&1 &
  pid_of[$1]=$!
  wait_for_start "$1" 'Started\.' "$run_dir/$1.log" || return 1
  http_address_of[$1]=$(get_start_field listen)
}

# start_platform INSTANCES [ZONES] - starts the stand-in of the users' platform,
# with instances spread over the zones z1, z2, ...
start_platform ()
{
  echo "{ \"listen\": \"127.0.0.1:0\",
    \"instances\": { \"count\": $1, \"zones\": ${2:-1} } }" \
    >"$run_dir/platform.json"
  start_program platform standin-platform "$run_dir/platform.json"
}

# put_operator_key KEY JSON - writes a key of the platform's store, as its
# operators do.
put_operator_key ()
{
  local value

  value=$(printf '%s' "$2" | base64 -w 0)
  curl -sS --max-time 5 -o /dev/null \
    -d "{\"expected_rev\":[],\"writes\":[{\"key\":\"$1\",\"value\":\"$value\"}],\"remove\":[]}" \
    "http://${http_address_of[platform]}/-/kv-txn"
}

# change_network CALL QUERY - changes the network between the zones of the
# stand-in of the users' platform; standin/platform.c lists the calls.
change_network ()
{
  curl -sS -f --max-time 5 "http://${http_address_of[platform]}/network/$1?$2"
}

# start_celld NAME [ZONE] - starts a planner and agent daemon.  With ZONE, it
# reaches other zones through relays that can be cut.
start_celld ()
{
  local store=${http_address_of[platform]} advertise=""

  if [ $# -gt 1 ]
  then
    store=$(change_network relay "target=$store" | jq -r .address)
    advertise=$(change_network relay "zone=$2" | jq -r .address)
  fi
  cat >"$run_dir/celld-$1.json" <<EOF
{
  "name": "$1",
  "availability_zone": "${2:-z1}",
  "listen": "127.0.0.1:0",
  ${advertise:+"\"advertise\": \"$advertise\","}
  "store": "$store",
  "advice": "${http_address_of[platform]}",
  "early_ms": 250
}
EOF
  start_platform_daemon "celld-$1" rosemarystile-celld "$run_dir/celld-$1.json" \
    || return 1
  [ $# -gt 1 ] || return 0
  change_network process "pid=${pid_of[celld-$1]}&zone=$2" >/dev/null \
    && change_network target \
      "relay=$advertise&target=${http_address_of[celld-$1]}" >/dev/null
}

# start_jobd NAME [ZONE] - starts an entry daemon of the users' platform.  With
# ZONE, it reaches the store and other zones through relays that can be cut.
start_jobd ()
{
  local store=${http_address_of[platform]}

  [ $# -le 1 ] \
    || store=$(change_network relay "target=$store" | jq -r .address)
  cat >"$run_dir/jobd-$1.json" <<EOF
{
  "name": "$1",
  "availability_zone": "${2:-z1}",
  "listen": "127.0.0.1:0",
  "readiness": "127.0.0.1:0",
  "store": "$store"
}
EOF
  start_platform_daemon "jobd-$1" rosemarystile-jobd "$run_dir/jobd-$1.json" \
    || return 1
  readiness_address_of[jobd-$1]=$(get_start_field readiness)
  [ $# -gt 1 ] || return 0
  change_network process "pid=${pid_of[jobd-$1]}&zone=$2" >/dev/null
}

# stop_process NAME - stops a process by SIGTERM and returns its exit status.
stop_process ()
{
  kill -TERM "${pid_of[$1]}"
  wait "${pid_of[$1]}" 2>/dev/null
}

# kill_process NAME - kills a process by SIGKILL, also if it is paused.
kill_process ()
{
  kill -CONT "${pid_of[$1]}" 2>/dev/null
  kill -KILL "${pid_of[$1]}" 2>/dev/null
  wait "${pid_of[$1]}" 2>/dev/null
  return 0
}

# kill_all_processes - kills every process that these functions started.
kill_all_processes ()
{
  local name

  for name in "${!pid_of[@]}"
  do
    kill_process "$name"
  done
  pid_of=()
}

# start_store - starts the stand-in of the store.
start_store ()
{
  echo '{ "listen": "127.0.0.1:0" }' >"$run_dir/store.json"
  start_program store standin-store "$run_dir/store.json"
}

# start_instance_list LAG_MS - the list shows changes after LAG_MS.
start_instance_list ()
{
  echo "{ \"listen\": \"127.0.0.1:0\", \"lag_ms\": $1 }" >"$run_dir/list.json"
  start_program list standin-list "$run_dir/list.json"
}

# start_fleet ZONE RUNNERS WORKERS - starts the instances of one zone.
start_fleet ()
{
  cat >"$run_dir/fleet-$1.json" <<EOF
{
  "availability_zone": "$1",
  "host": "127.0.0.1",
  "control": "127.0.0.1:0",
  "list": { "address": "${http_address_of[list]}" },
  "runners": { "count": $2, "slots": 8, "run_ms": 5 },
  "workers": { "count": $3, "cpu_milli": 16000, "memory_mb": 65536,
               "accelerators": 0, "rack_size": 8 }
}
EOF
  start_program "fleet-$1" standin-fleet "$run_dir/fleet-$1.json"
}

# start_schedd ZONE NAME - starts the scheduler of entry instance NAME.
start_schedd ()
{
  cat >"$run_dir/schedd-$2.json" <<EOF
{
  // The scheduler of entry instance $2.
  "name": "$2",
  "availability_zone": "$1",
  "listen": "${frame_address_of[schedd-$2]:-127.0.0.1:0}",
  "status_listen": "127.0.0.1:0",
  "store": { "address": "${http_address_of[store]}", "timeout_ms": 1000 },
  "list": { "address": "${http_address_of[list]}", "interval_ms": 500 },
  "log": { "format": "plain", "level": "$log_level" }
}
EOF
  start_program "schedd-$2" rosemarystile-schedd "$run_dir/schedd-$2.json"
}

# start_entryd ZONE NAME - starts the entry of entry instance NAME.
start_entryd ()
{
  cat >"$run_dir/entryd-$2.json" <<EOF
{
  // The entry of entry instance $2.  It learns the addresses of the other
  // schedulers from the scheduler of its own entry instance.
  "name": "$2",
  "availability_zone": "$1",
  "listen": "${http_address_of[entryd-$2]:-127.0.0.1:0}",
  "schedulers": [ "${frame_address_of[schedd-$2]}" ],
  "log": { "format": "plain", "level": "$log_level" }
}
EOF
  start_program "entryd-$2" rosemarystile-entryd "$run_dir/entryd-$2.json"
}

# http_get ADDRESS PATH - prints the body of the response.
http_get ()
{
  curl -sS --max-time 5 "http://$1$2"
}

# wait_for SECONDS COMMAND... - repeats a command until it succeeds; fails if
# it hasn't after that time.
wait_for ()
{
  local deadline=$(($(date +%s%N) / 1000000 + $1 * 1000))

  shift
  until "$@" >/dev/null 2>&1
  do
    [ $(($(date +%s%N) / 1000000)) -lt $deadline ] || return 1
    sleep 0.05
  done
}

# get_time_ms - prints the system clock in milliseconds since the epoch.
get_time_ms ()
{
  echo $(($(date +%s%N) / 1000000))
}

# is_ready ADDRESS - whether a daemon reports that it is ready.
is_ready ()
{
  curl -sf --max-time 2 "http://$1/readyz"
}

# count_owned_instances - prints how many instances have a scheduler that owns
# them and can place work on them.
count_owned_instances ()
{
  local name sum=0 count

  for name in "${!http_address_of[@]}"
  do
    case $name in
      schedd-*)
        kill -0 "${pid_of[$name]:-0}" 2>/dev/null || continue
        count=$(http_get "${http_address_of[$name]}" /status 2>/dev/null \
          | jq '[.instances[] | select(.ready)] | length' 2>/dev/null)
        sum=$((sum + ${count:-0}))
        ;;
    esac
  done
  echo "$sum"
}

# all_instances_are_owned COUNT - whether COUNT instances have a ready owner.
all_instances_are_owned ()
{
  [ "$(count_owned_instances)" -eq "$1" ]
}

# ctl ARGUMENT... - runs the operators' tool on the cell's store.
ctl ()
{
  "$bin_dir/rosemarystile-ctl" --store "${http_address_of[store]}" "$@"
}

# sum_over_fleets FIELD - prints the sum of a counter of all fleets.
sum_over_fleets ()
{
  local name sum=0

  for name in "${!http_address_of[@]}"
  do
    case $name in
      fleet-*)
        sum=$((sum
          + $(http_get "${http_address_of[$name]}" /account | jq ".$1")))
        ;;
    esac
  done
  echo "$sum"
}

# count_repeated_queries - prints how many queries that must run once ran in
# more than one fleet.  Repeats within a fleet are its counter "doubled".
count_repeated_queries ()
{
  local name

  for name in "${!http_address_of[@]}"
  do
    case $name in
      fleet-*) http_get "${http_address_of[$name]}" /ran ;;
    esac
  done | sort | uniq -d | wc -l
}
