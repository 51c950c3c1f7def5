# Runs the daemons of the users' platform on its stand-in: submits jobs and
# waits for their ends, kills the planner and stops daemons by SIGTERM.
. test/run/lib.sh
start_platform 4 || exit 1

# print_config VERSION ROUTES - prints the operators' settings with further
# routes, given as JSON.
print_config ()
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
put_operator_key op/config "$(print_config 3 '')"
for name in e1 e2 e3
do
  start_celld $name && start_jobd $name || exit 1
done

# call_jobd ENTRY KEY PATH [CURL OPTION...] - calls a jobd and prints the
# status and body of the response.
call_jobd ()
{
  local entry=$1 key=$2 path=$3

  shift 3
  curl -sS --max-time 10 -o "$run_dir/body" -w '%{http_code} ' \
    -H 'Host: h.example' -H "X-Rosemarystile-Key: $key" "$@" \
    "http://${http_address_of[jobd-$entry]}$path"
  cat "$run_dir/body"
}

# print_job TASKS MS - prints a job of two steps, the second after the first.
print_job ()
{
  echo "{\"spec\":\"$2\",\"phases\":[
    {\"count\":$1,\"cpu\":500,\"mem_mb\":64,\"est_runtime_ms\":$2},
    {\"count\":1,\"cpu\":500,\"mem_mb\":64,\"est_runtime_ms\":$2,\"after\":[0]}]}"
}

# format_job_id NUMBER - prints the id of a job.
format_job_id ()
{
  printf '%016x' "$1"
}

# submit_job ENTRY NUMBER QUEUE TASKS MS - submits a job; fails if it is not
# accepted.
submit_job ()
{
  [ "$(call_jobd "$1" key-1 "/$3/$(format_job_id "$2")" \
    -d "$(print_job "$4" "$5")" | cut -c 1-3)" = 200 ]
}

# jobd_reports_state ENTRY QUEUE NUMBER STATE - whether a job is in STATE.
jobd_reports_state ()
{
  call_jobd "$1" key-1 "/$2/$(format_job_id "$3")" | grep -q "\"state\":\"$4\""
}

# find_planner - prints the name of the celld that became planner last.
find_planner ()
{
  grep -H 'This process is the planner' "$run_dir"/celld-*.log \
    | sed 's/.*epoch=\([0-9]*\).*/\1 &/' | sort -n | tail -1 \
    | sed 's/.*celld-\([^.]*\)\.log.*/\1/'
}

# planner_has_read_entries NAME - whether a planner has warned of as many odd
# entries as there are.
planner_has_read_entries ()
{
  [ "$(grep -c "Instance entry can't be used" "$run_dir/celld-$1.log")" -eq 4 ]
}

echo "# jobs run, whichever entry instance takes them"
wait_for 20 submit_job e1 1 q 3 20 || echo "job 1 is not accepted"
wait_for 20 submit_job e2 2 a 2 20 || echo "job 2 is not accepted"
wait_for 20 submit_job e3 3 q 1 20 || echo "job 3 is not accepted"
for number in 1 2 3
do
  queue=q
  [ $number = 2 ] && queue=a
  wait_for 20 jobd_reports_state e3 $queue $number completed \
    || echo "job $number is not completed"
done
call_jobd e1 key-1 "/q/$(format_job_id 1)"
call_jobd e1 key-1 "/q/$(format_job_id 1)" -d "$(print_job 3 20)"
call_jobd e2 key-1 /q/

echo "# calls that are turned away"
call_jobd e1 wrong "/q/$(format_job_id 9)" -d "$(print_job 1 20)"
call_jobd e1 key-1 "/none/$(format_job_id 9)" -d "$(print_job 1 20)"
call_jobd e1 key-1 "/q/$(format_job_id 9)"
call_jobd e1 key-1 "/q/$(format_job_id 9)" -d '{"phases":3}'
call_jobd e1 key-1 "/q/$(format_job_id 9)" -X PUT -d x
curl -sS --max-time 10 -o "$run_dir/body" -w '%{http_code}\n' -H 'Host;' \
  "http://${http_address_of[jobd-e1]}/q/"

echo "# a cancelled job stops"
wait_for 20 submit_job e1 4 q 2 60000 || echo "job 4 is not accepted"
wait_for 20 jobd_reports_state e1 q 4 running || echo "job 4 is not running"
call_jobd e2 key-1 "/q/$(format_job_id 4)" -X DELETE
call_jobd e3 key-1 "/q/$(format_job_id 4)"

echo "# a new queue is in force"
put_operator_key op/config "$(print_config 7 \
  ',{"name":"n","host":"h.example","prefix":"/n/","service":"pool"}')"
wait_for 20 submit_job e2 5 n 1 20 || echo "job 5 is not accepted"
wait_for 20 jobd_reports_state e2 n 5 completed \
  || echo "job 5 is not completed"

echo "# odd entries among those of the instances"
# print_entry ADDRESS CPU - prints an instance's entry.
print_entry ()
{
  echo "{\"service\":\"pool\",\"addr\":\"$1\",\"zone\":\"z1\",
    \"state\":\"ready\",\"capacity\":{\"cpu\":$2,\"mem_mb\":4000}}"
}
put_operator_key servers/deep "{\"more\":$(printf '[%.0s' {1..5000})"
put_operator_key servers/number "$(print_entry 127.0.0.1:1 1e300)"
put_operator_key servers/port "$(print_entry 127.0.0.1:65536 4000)"
put_operator_key 'servers/line\nforged' "$(print_entry 127.0.0.1:1 4000)"
wait_for 20 planner_has_read_entries "$(find_planner)" \
  || echo "the planner has not read the odd entries"
wait_for 20 submit_job e1 6 q 3 20 || echo "job 6 is not accepted"
wait_for 20 jobd_reports_state e1 q 6 completed \
  || echo "job 6 is not completed"

echo "# the planner is killed while jobs run"
for number in 11 12 13 14
do
  wait_for 20 submit_job e1 $number q 3 1500 \
    || echo "job $number is not accepted"
done
first=$(find_planner)
kill_process "celld-$first"
for number in 11 12 13 14
do
  wait_for 40 jobd_reports_state e1 q $number completed \
    || echo "job $number is not completed"
done
second=$(find_planner)
[ "$second" != "$first" ] && echo "another planner"
wait_for 20 planner_has_read_entries "$second" \
  || echo "the next planner has not read the odd entries"
for name in "$first" "$second"
do
  grep -o "Instance entry can't be used.*: must" "$run_dir/celld-$name.log" \
    | sort
  grep '^forged' "$run_dir/celld-$name.log"
done

echo "# planned stops"
wait_for 20 submit_job e1 21 q 3 1500 || echo "job 21 is not accepted"
stop_process "celld-$second"
echo "celld status $?"
wait_for 40 jobd_reports_state e1 q 21 completed \
  || echo "job 21 is not completed"
stop_process jobd-e1
echo "jobd status $?"
account=$(http_get "${http_address_of[platform]}" /account)
echo "done $(echo "$account" | jq .done) twice $(echo "$account" | jq .twice)"
