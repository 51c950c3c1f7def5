# The daemons of the users' platform on its stand-in: jobs from start to end,
# a killed planner, planned stops.
. test/run/lib.sh
start_platform 4 || exit 1
config ()
{
  cat <<EOF
{"version":$1,
 "routes":[{"name":"q","host":"h.example","prefix":"/q/","service":"pool",
   "priority":1,"attempts":3,"slack_factor":2.0,"target_latency_ms":500},
  {"name":"a","host":"h.example","prefix":"/a/","service":"pool",
   "priority":0,"attempts":3,"slack_factor":2.0,"target_latency_ms":500,
   "advice":{"decision_ms":1,"interval_ms":0.1,"validity_ms":2000}}$2],
 "services":[{"name":"pool"}],
 "tenants":[{"name":"t","api_keys":["key-1"],"weight":100}]}
EOF
}
put_operators op/config "$(config 3 '')"
for name in e1 e2 e3
do
  start_celld $name && start_jobd $name || exit 1
done

# job ENTRY KEY PATH [CURL OPTION...] - prints status and body of a call.
job ()
{
  local entry=$1 key=$2 path=$3

  shift 3
  curl -sS --max-time 10 -o "$run/body" -w '%{http_code} ' \
    -H 'Host: h.example' -H "X-Rosemarystile-Key: $key" "$@" \
    "http://${status_of[jobd-$entry]}$path"
  cat "$run/body"
}

# body TASKS MS - a job of two steps, one behind the other.
body ()
{
  echo "{\"spec\":\"$2\",\"phases\":[
    {\"count\":$1,\"cpu\":500,\"mem_mb\":64,\"est_runtime_ms\":$2},
    {\"count\":1,\"cpu\":500,\"mem_mb\":64,\"est_runtime_ms\":$2,\"after\":[0]}]}"
}

id_of ()
{
  printf '%016x' "$1"
}

# hand_in ENTRY NUMBER QUEUE TASKS MS - true once the job is accepted.
hand_in ()
{
  [ "$(job "$1" key-1 "/$3/$(id_of "$2")" -d "$(body "$4" "$5")" \
    | cut -c 1-3)" = 200 ]
}

is_in_state ()
{
  job "$1" key-1 "/$2/$(id_of "$3")" | grep -q "\"state\":\"$4\""
}

# planner - name of the celld that has last become planner.
planner ()
{
  grep -H 'This process is the planner' "$run"/celld-*.log \
    | sed 's/.*epoch=\([0-9]*\).*/\1 &/' | sort -n | tail -1 \
    | sed 's/.*celld-\([^.]*\)\.log.*/\1/'
}

echo "# jobs run, whichever entry instance takes them"
wait_for 20 hand_in e1 1 q 3 20 || echo "not accepted"
wait_for 20 hand_in e2 2 a 2 20 || echo "not accepted"
wait_for 20 hand_in e3 3 q 1 20 || echo "not accepted"
for number in 1 2 3
do
  queue=q
  [ $number = 2 ] && queue=a
  wait_for 20 is_in_state e3 $queue $number completed || echo "not completed"
done
job e1 key-1 "/q/$(id_of 1)"
job e1 key-1 "/q/$(id_of 1)" -d "$(body 3 20)"
job e2 key-1 /q/

echo "# calls that are turned away"
job e1 wrong "/q/$(id_of 9)" -d "$(body 1 20)"
job e1 key-1 "/none/$(id_of 9)" -d "$(body 1 20)"
job e1 key-1 "/q/$(id_of 9)"
job e1 key-1 "/q/$(id_of 9)" -d '{"phases":3}'
job e1 key-1 "/q/$(id_of 9)" -X PUT -d x

echo "# a cancelled job stops"
wait_for 20 hand_in e1 4 q 2 60000 || echo "not accepted"
wait_for 20 is_in_state e1 q 4 running || echo "not running"
job e2 key-1 "/q/$(id_of 4)" -X DELETE
job e3 key-1 "/q/$(id_of 4)"

echo "# a new queue is in force"
put_operators op/config "$(config 7 ',{"name":"n","host":"h.example","prefix":"/n/","service":"pool"}')"
wait_for 20 hand_in e2 5 n 1 20 || echo "not accepted"
wait_for 20 is_in_state e2 n 5 completed || echo "not completed"

echo "# the planner is killed while jobs run"
for number in 11 12 13 14
do
  wait_for 20 hand_in e1 $number q 3 1500 || echo "not accepted"
done
first=$(planner)
kill_hard "celld-$first"
for number in 11 12 13 14
do
  wait_for 40 is_in_state e1 q $number completed || echo "not completed"
done
[ "$(planner)" != "$first" ] && echo "another planner"

echo "# planned stops"
second=$(planner)
wait_for 20 hand_in e1 21 q 3 1500 || echo "not accepted"
stop "celld-$second"
echo "celld status $?"
wait_for 40 is_in_state e1 q 21 completed || echo "not completed"
stop jobd-e1
echo "jobd status $?"
account=$(get "${status_of[platform]}" /account)
echo "done $(echo "$account" | jq .done) twice $(echo "$account" | jq .twice)"
