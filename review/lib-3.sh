# Functions of the scripts review/11 to review/15.  A script sets $case_dir,
# sources this file in the repository root, and calls finish at its end.
set -u
export LC_ALL=C
bin=target
standins=target/review3
log_level=info
work=$(mktemp -d)
record=$case_dir/record.txt
: >"$record"
declare -A pid address
TROUBLE=${TROUBLE:-1}

clean_up ()
{
  local name

  for name in "${!pid[@]}"
  do
    kill -CONT "${pid[$name]}" 2>/dev/null
    kill -KILL "${pid[$name]}" 2>/dev/null
    wait "${pid[$name]}" 2>/dev/null
  done
  [ -n "${KEEP_LOGS:-}" ] && mkdir -p "$KEEP_LOGS" && cp "$work"/*.log "$KEEP_LOGS"
  rm -rf "$work"
}
trap clean_up EXIT
trap 'exit 2' INT TERM

# cannot_run WHY - ends the script: the case couldn't run.
cannot_run ()
{
  say "cannot run: $1"
  exit 2
}

now_ms ()
{
  echo $(($(date +%s%N) / 1000000))
}

# say TEXT - writes a line to the record and prints it.
say ()
{
  echo "$(now_ms) $*" | tee -a "$record"
}

# wait_line NAME PATTERN FILE - waits for a line of FILE, in $line.
wait_line ()
{
  local i

  for i in $(seq 1 500)
  do
    line=$(grep -a -m 1 "$2" "$3" 2>/dev/null) && return 0
    kill -0 "${pid[$1]}" 2>/dev/null || break
    sleep 0.02
  done
  return 1
}

start_platform ()
{
  echo '{ "listen": "127.0.0.1:0", "instances": { "count": 1 } }' \
    >"$work/platform.json"
  "$standins/standin-platform" --settings "$work/platform.json" \
    >"$work/platform.out" 2>"$work/platform.log" &
  pid[platform]=$!
  wait_line platform '^ready' "$work/platform.out" \
    || cannot_run "standin-platform does not start"
  address[platform]=${line#*http=}
}

# put KEY JSON - writes a key of the store, as the operators do.
put ()
{
  curl -sS --max-time 5 -o /dev/null \
    -d "{\"expected_rev\":[],\"writes\":[{\"key\":\"$1\",\"value\":\"$(printf '%s' "$2" | base64 -w 0)\"}],\"remove\":[]}" \
    "http://${address[platform]}/-/kv-txn"
}

# configure ATTEMPTS - the only configuration: queue "q" of service "svc".
configure ()
{
  put op/config "{\"version\":1,\"routes\":[{\"name\":\"q\",
    \"host\":\"h.example\",\"prefix\":\"/q/\",\"kind\":\"non_idempotent\",
    \"timeout_ms\":3000,\"service\":\"svc\",\"priority\":1,\"attempts\":$1,
    \"slack_factor\":2.0,\"target_latency_ms\":1000,\"public\":false}],
    \"services\":[{\"name\":\"svc\",\"health_path\":\"/health\",
    \"max_conns\":64,\"rejects_overload\":false,\"headroom\":false}],
    \"tenants\":[{\"name\":\"t\",\"api_keys\":[\"key-1\"],\"weight\":100,
    \"cap\":{\"cpu\":0,\"mem_mb\":0,\"gpu\":0}}]}"
}

# start_runner ID LABEL CPU - starts a life of a runner, on its former port.
start_runner ()
{
  local port=${address[$1]:-:0}

  rm -f "$work/$1.out"
  "$standins/review-runner" "$1" "${address[platform]}" "${port##*:}" svc \
    "$2" "$3" "$work/runs" 1500 >"$work/$1.out" 2>>"$work/$1.log" &
  pid[$1]=$!
  wait_line "$1" '^ready' "$work/$1.out" || cannot_run "$1 does not start"
  address[$1]=${line#*http=}
}

# crash NAME - kills a process by SIGKILL.
crash ()
{
  kill -KILL "${pid[$1]}" 2>/dev/null
  wait "${pid[$1]}" 2>/dev/null
}

# The settings are those of deploy/*.json, filled in for a machine of the site
# kpin-sched.
start_celld ()
{
  sed -e "s/{{node_name|json}}/\"$1\"/; s/{{zone|json}}/\"z1\"/" \
    -e "s/{{ip}}:{{port_range.0}}/127.0.0.1:0/; s/{{ip}}:9472/127.0.0.1:0/" \
    -e "s/{{platform.addr|json}}/\"${address[platform]}\"/" \
    -e "s/{{advice}}/${address[platform]}/" \
    -e 's/{{bounds.hold_max_ms}}/6000/; s/{{bounds.status_s}}/120/' \
    -e 's/{{bounds.early_ms}}/250/; s/{{bounds.remote_penalty}}/2/' \
    -e 's/{{limits.memory_mb}}/260/; s/{{limits.max_fds}}/4100/' \
    -e 's/{{limits.cpu_share}}/0.25/; s/{{limits.link_mbps}}/1000.0/' \
    deploy/celld.json >"$work/celld-$1.json"
  "$bin/rosemarystile-celld" --settings "$work/celld-$1.json" \
    >"$work/celld-$1.log" 2>&1 &
  pid[celld-$1]=$!
  wait_line "celld-$1" 'Started\.' "$work/celld-$1.log" \
    || cannot_run "celld $1 does not start"
}

start_jobd ()
{
  sed -e "s/{{node_name|json}}/\"$1\"/; s/{{zone|json}}/\"z1\"/" \
    -e 's/{{listen.frontend|json}}/"127.0.0.1:0"/' \
    -e 's/{{listen.readiness|json}}/"127.0.0.1:0"/' \
    -e 's/{{ip}}:9471/127.0.0.1:0/' \
    -e "s/{{platform.addr|json}}/\"${address[platform]}\"/" \
    -e 's/{{limits.memory_mb}}/260/; s/{{limits.max_fds}}/4100/' \
    deploy/jobd.json >"$work/jobd-$1.json"
  "$bin/rosemarystile-jobd" --settings "$work/jobd-$1.json" \
    >"$work/jobd-$1.log" 2>&1 &
  pid[jobd-$1]=$!
  wait_line "jobd-$1" 'Started\.' "$work/jobd-$1.log" \
    || cannot_run "jobd $1 does not start"
  address[jobd-$1]=$(echo "$line" | sed 's/.*listen=\([^ ]*\).*/\1/')
}

# start_machines COUNT - starts the programs of entry instances e1, e2, ...
start_machines ()
{
  local i

  for i in $(seq 1 "$1")
  do
    start_celld "e$i"
    start_jobd "e$i"
  done
}

# call ENTRY PATH [CURL OPTION...] - a client's call; sets $status and $body,
# status 000 if there was no answer.
call ()
{
  local entry=$1 path=$2

  shift 2
  status=$(curl -sS --max-time 4 -o "$work/body" -w '%{http_code}' \
    -H 'Host: h.example' -H 'X-Rosemarystile-Key: key-1' \
    -H 'X-Rosemarystile-Deadline-Ms: 3000' "$@" \
    "http://${address[jobd-$entry]}$path" 2>/dev/null)
  body=$(tr -d '\n' <"$work/body" 2>/dev/null)
}

# submit ENTRY ID JSON - hands a job in, with up to 4 retries at this entry
# after no answer, 502 or 504.
submit ()
{
  local try

  for try in 1 2 3 4 5
  do
    call "$1" "/q/$2" -d "$3"
    say "submit $2 at $1 (attempt $try): $status $body"
    case $status in
      000 | 502 | 504) ;;
      *) break ;;
    esac
  done
  [ "$status" = 200 ]
}

# submit_until_accepted ENTRY ID JSON - for the start of a script, while the
# programs get ready.
submit_until_accepted ()
{
  local i

  for i in $(seq 1 100)
  do
    call "$1" "/q/$2" -d "$3"
    [ "$status" = 200 ] && say "submit $2 at $1: $status" && return 0
    sleep 0.1
  done
  cannot_run "job $2 is not accepted: $status $body"
}

# find_planner - prints the entry whose celld became planner last.
find_planner ()
{
  grep -a -H 'This process is the planner' "$work"/celld-*.log \
    | sed 's/.*celld-\([^.]*\)\.log.*epoch=\([0-9]*\).*/\2 \1/' | sort -n \
    | tail -1 | cut -d' ' -f2
}

# finish WORD - ends the script by what was found: broken or held.
finish ()
{
  [ -f "$work/runs" ] && sort -n "$work/runs" >>"$record"
  say "result: rule $1"
  [ "$1" = held ] && exit 0
  exit 1
}
