# Suspends an entry instance while a submission arrives there, cancels the job
# at another one and resumes the first: the job must not be accepted.  Handed in
# again after the cancel, it runs.
. test/run/lib.sh
start_platform 4 || exit 1
put_operator_key op/config '{"version":3,
 "routes":[{"name":"q","host":"h.example","prefix":"/q/","service":"pool",
   "priority":1,"attempts":3,"slack_factor":2.0,"target_latency_ms":500}],
 "services":[{"name":"pool"}],
 "tenants":[{"name":"t","api_keys":["key-1"],"weight":100}]}'
# The first process becomes the planner.
start_celld e1 || exit 1
wait_for 20 grep -q 'Planner is ready' "$run_dir/celld-e1.log" \
  || echo "celld-e1 is not the planner"
for name in e2 e3
do
  start_celld $name && start_jobd $name || exit 1
done

# call_jobd ENTRY METHOD NUMBER [CURL OPTION...] - prints the status and body.
call_jobd ()
{
  local body
  body=$(mktemp -p "$run_dir")
  curl -sS --max-time 10 -o "$body" -w '%{http_code} ' -X "$2" \
    -H 'Host: h.example' -H 'X-Rosemarystile-Key: key-1' "${@:4}" \
    "http://${http_address_of[jobd-$1]}/q/$(printf '%016x' "$3")"
  cat "$body"
}

# submit_job ENTRY NUMBER [CURL OPTION...] - submits a job of one task.
submit_job ()
{
  call_jobd "$1" POST "$2" -d '{"spec":"20","phases":[{"cpu":500}]}' "${@:3}"
}

job_is_accepted ()
{
  submit_job "$1" "$2" | grep -q '^200'
}

job_is_completed ()
{
  call_jobd "$1" GET "$2" | grep -q '"state":"completed"'
}

# cancel_while_suspended NUMBER SECONDS [CURL OPTION...] - submits a job at e2,
# which is suspended for as long, and cancels it at e3.
cancel_while_suspended ()
{
  local number=$1 seconds=$2

  shift 2
  kill -STOP "${pid_of[jobd-e2]}"
  submit_job e2 "$number" "$@" >"$run_dir/submitted" 2>/dev/null &
  sleep 0.4
  call_jobd e3 DELETE "$number"
  [ -z "${kill_planner:-}" ] || kill_process celld-e1
  sleep "$seconds"
  kill -CONT "${pid_of[jobd-e2]}"
  wait $!
  # 504: the call was sent, over a link that the planner had closed.
  case $(cut -c 1-3 "$run_dir/submitted") in
    503|504) echo "not accepted" ;;
    *) cut -c 1-3 "$run_dir/submitted" ;;
  esac
  # By then a job that was accepted has run.
  sleep 1
  call_jobd e3 GET "$number"
}

wait_for 20 job_is_accepted e2 1 || echo "job 1 is not accepted"
wait_for 20 job_is_accepted e3 2 || echo "job 2 is not accepted"
echo "# the caller still waits when its call is read"
cancel_while_suspended 3 1
echo "# the caller has left"
cancel_while_suspended 4 1 --max-time 0.3
echo "# the caller's deadline is over"
cancel_while_suspended 5 1 -H 'X-Rosemarystile-Deadline-Ms: 1200'
echo "# handed in again after the cancel"
call_jobd e3 DELETE 6
submit_job e3 6
wait_for 20 job_is_completed e3 6 || echo "job 6 is not completed"
call_jobd e2 DELETE 3
submit_job e3 3
wait_for 20 job_is_completed e3 3 || echo "job 3 is not completed"
echo "# the planner that answered the cancel is killed"
kill_planner=1 cancel_while_suspended 7 1.5 \
  -H 'X-Rosemarystile-Deadline-Ms: 9000'
wait_for 20 job_is_accepted e2 7 || echo "job 7 is not accepted"
wait_for 20 job_is_completed e3 7 || echo "job 7 is not completed"
account=$(http_get "${http_address_of[platform]}" /account)
echo "done $(echo "$account" | jq .done) twice $(echo "$account" | jq .twice)"
