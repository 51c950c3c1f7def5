# Starts the stand-ins and daemons of one cell on loopback, and ends them by
# process id.  Expects in $bin the folder of the programs and in $run a folder
# for settings and logs.  Every port is chosen by the kernel.

declare -A pid_of address_of status_of
log_level=${log_level:-warning}

# await_line NAME PATTERN FILE - waits for a line of a program's file and leaves
# it in $ready_line; tells when the program ends before.
await_line ()
{
  local i

  for i in $(seq 1 500)
  do
    ready_line=$(grep -m 1 "$2" "$3" 2>/dev/null)
    [ -n "$ready_line" ] && return 0
    kill -0 "${pid_of[$1]}" 2>/dev/null || break
    sleep 0.02
  done
  echo "$1 did not start:"
  cat "$run/$1.log"
  return 1
}

# word_of KEY - the value of KEY=VALUE in $ready_line, or "".
word_of ()
{
  echo "$ready_line" | sed -n "s/.*$1=\\([^ ]*\\).*/\\1/p"
}

# start NAME PROGRAM SETTINGS - starts a program and waits until it is ready.
# It runs in the main shell's process group; its id is kept in pid_of.
start ()
{
  "$bin/$2" --settings "$3" >"$run/$1.out" 2>>"$run/$1.log" &
  pid_of[$1]=$!
  await_line "$1" '^ready' "$run/$1.out" || return 1
  status_of[$1]=$(word_of http)
  address_of[$1]=$(word_of frames)
}

# start_logged NAME PROGRAM SETTINGS - starts a daemon that logs to standard
# output, and waits for its line "Started.".
start_logged ()
{
  "$bin/$2" --settings "$3" >"$run/$1.log" 2>&1 &
  pid_of[$1]=$!
  await_line "$1" 'Started\.' "$run/$1.log" || return 1
  status_of[$1]=$(word_of listen)
}

# start_platform INSTANCES
start_platform ()
{
  echo "{ \"listen\": \"127.0.0.1:0\", \"instances\": { \"count\": $1 } }" \
    >"$run/platform.json"
  start platform standin-platform "$run/platform.json"
}

# put_operators KEY JSON - writes a key as the operators do.
put_operators ()
{
  local value

  value=$(printf '%s' "$2" | base64 -w 0)
  curl -sS --max-time 5 -o /dev/null \
    -d "{\"expected_rev\":[],\"writes\":[{\"key\":\"$1\",\"value\":\"$value\"}],\"remove\":[]}" \
    "http://${status_of[platform]}/-/kv-txn"
}

# start_celld NAME
start_celld ()
{
  cat >"$run/celld-$1.json" <<EOF
{
  "name": "$1",
  "availability_zone": "z1",
  "listen": "127.0.0.1:0",
  "store": "${status_of[platform]}",
  "advice": "${status_of[platform]}",
  "early_ms": 250
}
EOF
  start_logged "celld-$1" rosemarystile-celld "$run/celld-$1.json"
}

# start_jobd NAME
start_jobd ()
{
  cat >"$run/jobd-$1.json" <<EOF
{
  "name": "$1",
  "availability_zone": "z1",
  "listen": "127.0.0.1:0",
  "readiness": "127.0.0.1:0",
  "store": "${status_of[platform]}"
}
EOF
  start_logged "jobd-$1" rosemarystile-jobd "$run/jobd-$1.json"
}

# stop NAME - stops a process by SIGTERM; returns its exit status.
stop ()
{
  kill -TERM "${pid_of[$1]}"
  wait "${pid_of[$1]}" 2>/dev/null
}

# kill_hard NAME - ends a process by SIGKILL.
kill_hard ()
{
  kill -CONT "${pid_of[$1]}" 2>/dev/null
  kill -KILL "${pid_of[$1]}" 2>/dev/null
  wait "${pid_of[$1]}" 2>/dev/null
  return 0
}

# stop_all - ends every process that was started here.
stop_all ()
{
  local name

  for name in "${!pid_of[@]}"
  do
    kill_hard "$name"
  done
  pid_of=()
}

start_store ()
{
  echo '{ "listen": "127.0.0.1:0" }' >"$run/store.json"
  start store standin-store "$run/store.json"
}

# start_list LAG_MS
start_list ()
{
  echo "{ \"listen\": \"127.0.0.1:0\", \"lag_ms\": $1 }" >"$run/list.json"
  start list standin-list "$run/list.json"
}

# start_fleet ZONE RUNNERS WORKERS
start_fleet ()
{
  cat >"$run/fleet-$1.json" <<EOF
{
  "availability_zone": "$1",
  "host": "127.0.0.1",
  "control": "127.0.0.1:0",
  "list": { "address": "${status_of[list]}" },
  "runners": { "count": $2, "slots": 8, "run_ms": 5 },
  "workers": { "count": $3, "cpu_milli": 16000, "memory_mb": 65536,
               "accelerators": 0, "rack_size": 8 }
}
EOF
  start "fleet-$1" standin-fleet "$run/fleet-$1.json"
}

# start_schedd ZONE NAME
start_schedd ()
{
  cat >"$run/schedd-$2.json" <<EOF
{
  // The scheduler of entry instance $2.
  "name": "$2",
  "availability_zone": "$1",
  "listen": "${address_of[schedd-$2]:-127.0.0.1:0}",
  "status_listen": "127.0.0.1:0",
  "store": { "address": "${status_of[store]}", "timeout_ms": 1000 },
  "list": { "address": "${status_of[list]}", "interval_ms": 500 },
  "log": { "format": "plain", "level": "$log_level" }
}
EOF
  start "schedd-$2" rosemarystile-schedd "$run/schedd-$2.json"
}

# start_entryd ZONE NAME
start_entryd ()
{
  cat >"$run/entryd-$2.json" <<EOF
{
  // The entry of entry instance $2; it learns of other schedulers from its
  // own.
  "name": "$2",
  "availability_zone": "$1",
  "listen": "${status_of[entryd-$2]:-127.0.0.1:0}",
  "schedulers": [ "${address_of[schedd-$2]}" ],
  "log": { "format": "plain", "level": "$log_level" }
}
EOF
  start "entryd-$2" rosemarystile-entryd "$run/entryd-$2.json"
}

# get ADDRESS PATH - prints an answer's body.
get ()
{
  curl -sS --max-time 5 "http://$1$2"
}

# wait_for SECONDS COMMAND... - repeats a command until it succeeds.
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

# now_ms - milliseconds of the system's clock.
now_ms ()
{
  echo $(($(date +%s%N) / 1000000))
}

is_ready ()
{
  curl -sf --max-time 2 "http://$1/readyz"
}

# owned_instances - how many instances have an owner that is ready for them.
owned_instances ()
{
  local name sum=0 count

  for name in "${!status_of[@]}"
  do
    case $name in
      schedd-*)
        kill -0 "${pid_of[$name]:-0}" 2>/dev/null || continue
        count=$(get "${status_of[$name]}" /status 2>/dev/null \
          | jq '[.instances[] | select(.ready)] | length' 2>/dev/null)
        sum=$((sum + ${count:-0}))
        ;;
    esac
  done
  echo "$sum"
}

all_owned ()
{
  [ "$(owned_instances)" -eq "$1" ]
}

ctl ()
{
  "$bin/rosemarystile-ctl" --store "${status_of[store]}" "$@"
}

# fleet_sum FIELD - sums a figure over the accounts of all fleets.
fleet_sum ()
{
  local name sum=0

  for name in "${!status_of[@]}"
  do
    case $name in
      fleet-*)
        sum=$((sum + $(get "${status_of[$name]}" /account | jq ".$1")))
        ;;
    esac
  done
  echo "$sum"
}

# ran_twice - queries that must run once and ran on two runners.
ran_twice ()
{
  local name

  for name in "${!status_of[@]}"
  do
    case $name in
      fleet-*) get "${status_of[$name]}" /ran ;;
    esac
  done | sort | uniq -d | wc -l
}
