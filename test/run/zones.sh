# Cuts off the zone of the planner: the entry instances of that zone report that
# they are not ready, and reject calls without holding them, while those of the
# other zones serve.  After the cut all of them are ready again.
. test/run/lib.sh
# Longest wait for each step, in seconds; it bounds the run, not the time that a
# step may take.
limit_s=20
# Least length of the cut, in milliseconds.
cut_ms=${CUT_MS:-8000}

start_platform 12 3 || exit 1
put_operator_key op/config '{"version":3,
 "routes":[{"name":"q","host":"h.example","prefix":"/q/","service":"pool",
   "priority":1,"attempts":3,"slack_factor":2.0,"target_latency_ms":500}],
 "services":[{"name":"pool"}],
 "tenants":[{"name":"t","api_keys":["key-1"],"weight":100}]}'
# The first process becomes the planner.
start_celld a1 z1 || exit 1
wait_for $limit_s grep -q 'Planner is ready' "$run_dir/celld-a1.log" \
  || echo "celld-a1 is not the planner"
start_celld a2 z1 && start_celld b1 z2 && start_celld b2 z2 \
  && start_celld c1 z3 && start_celld c2 z3 || exit 1
start_jobd a1 z1 && start_jobd a2 z1 && start_jobd b1 z2 && start_jobd b2 z2 \
  && start_jobd c1 z3 || exit 1

# call_jobd NAME NUMBER [CURL OPTION...] - calls a jobd about a job and prints
# the status.
call_jobd ()
{
  curl -sS --max-time 10 -o "$run_dir/body" -D "$run_dir/headers" \
    -w '%{http_code}' -H 'Host: h.example' -H 'X-Rosemarystile-Key: key-1' \
    "${@:3}" "http://${http_address_of[jobd-$1]}/q/$(printf '%016x' "$2")"
}

job='{"spec":"20","phases":[{"count":1,"cpu":500,"est_runtime_ms":20}]}'

job_is_accepted ()
{
  [ "$(call_jobd "$1" "$2" -d "$job")" = 200 ]
}

job_is_completed ()
{
  [ "$(call_jobd "$1" "$2")" = 200 ] \
    && grep -q '"state":"completed"' "$run_dir/body"
}

# get_readiness NAME - prints the status of a jobd's readiness probe.
get_readiness ()
{
  curl -s -o /dev/null --max-time 2 -w '%{http_code}' \
    "http://${readiness_address_of[jobd-$1]}/-/ready"
}

# readiness_is STATUS NAME... - whether the probes of all these jobds answer so.
readiness_is ()
{
  local status=$1 name

  shift
  for name in "$@"
  do
    [ "$(get_readiness "$name")" = "$status" ] || return 1
  done
}

log_has ()
{
  grep -q "$2" "$run_dir/$1.log"
}

sleep_until ()
{
  local left=$(($1 + started_at - $(get_time_ms)))

  [ $left -le 0 ] || sleep "$(printf '%d.%03d' $((left / 1000)) $((left % 1000)))"
}

echo "# before the cut"
wait_for $limit_s readiness_is 200 a1 a2 b1 b2 c1 || echo "not all are ready"
for name in b1 b2 c1 c2
do
  wait_for $limit_s log_has celld-a1 "Agent connected.*agent=$name" \
    || echo "agent $name is not connected"
done
wait_for $limit_s job_is_accepted a1 1 || echo "job 1 is not accepted"
wait_for $limit_s job_is_completed a1 1 || echo "job 1 is not completed"

echo "# the planner's zone is cut off"
started_at=$(get_time_ms)
change_network zone 'zone=z1&cut=1' >/dev/null
wait_for $limit_s log_has celld-a1 'Planner is isolated' \
  || echo "the planner is not isolated"
wait_for $limit_s readiness_is 503 a1 a2 \
  || echo "entry instances of the planner's zone are ready"
for name in a1 a2
do
  [ "$(call_jobd $name 2 -d "$job")" = 503 ] || echo "$name: not rejected"
  grep -qi '^connection: close' "$run_dir/headers" \
    || echo "$name: the connection stays open"
  grep -qi '^retry-after: 1' "$run_dir/headers" || echo "$name: no retry time"
done
wait_for $limit_s job_is_accepted b1 3 || echo "job 3 is not accepted"
wait_for $limit_s job_is_accepted c1 4 || echo "job 4 is not accepted"
wait_for $limit_s readiness_is 200 b1 b2 c1 \
  || echo "entry instances of other zones are not ready"
readiness_is 503 a1 a2 || echo "entry instances that are cut off are ready"
sleep_until "$cut_ms"

echo "# after the cut"
change_network zone 'zone=z1&cut=0' >/dev/null
ended_at=$(get_time_ms)
wait_for $limit_s readiness_is 200 a1 a2 b1 b2 c1 \
  || echo "not all are ready"
[ -z "${SHOW_TIMES:-}" ] \
  || echo "ready after $(($(get_time_ms) - ended_at)) ms" >&2
for number in 2 5
do
  wait_for $limit_s job_is_accepted a2 $number \
    || echo "job $number is not accepted"
done
for number in 1 2 3 4 5
do
  wait_for 60 job_is_completed b1 $number \
    || echo "job $number is not completed"
done
account=$(http_get "${http_address_of[platform]}" /account)
echo "done $(echo "$account" | jq .done) twice $(echo "$account" | jq .twice)"
[ -z "${KEEP_LOGS:-}" ] || cp "$run_dir"/*.log "$KEEP_LOGS"
