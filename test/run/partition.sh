# Cuts the connections of some instances, and those of their zone shortly before
# the instances can be reached again: their own zone's agents go on extending
# their leases while the planner, in another zone, hears nothing of it.
. test/run/lib.sh
# Milliseconds from the instances' cut to their zone's, and how long each lasts.
zone_cut_after_ms=${ZONE_CUT_AFTER_MS:-3600}
instance_cut_ms=${INSTANCE_CUT_MS:-4000}
zone_cut_ms=${ZONE_CUT_MS:-5500}

start_platform 12 3 || exit 1
put_operator_key op/config '{"version":3,
 "routes":[{"name":"q","host":"h.example","prefix":"/q/","service":"pool",
   "priority":1,"attempts":3,"slack_factor":2.0,"target_latency_ms":500}],
 "services":[{"name":"pool"}],
 "tenants":[{"name":"t","api_keys":["key-1"],"weight":100}]}'
# The first process becomes the planner.
start_celld p z1 || exit 1
wait_for 20 grep -q 'Planner is ready' "$run_dir/celld-p.log" \
  || echo "celld-p is not the planner"
for zone in z2 z2 z3
do
  i=$((${i:-0} + 1))
  start_celld "a$i" $zone || exit 1
done
start_jobd p || exit 1

# call_job METHOD NUMBER [CURL OPTION...] - calls jobd about a job.
call_job ()
{
  curl -sS --max-time 10 -X "$1" -H 'Host: h.example' \
    -H 'X-Rosemarystile-Key: key-1' "${@:3}" \
    "http://${http_address_of[jobd-p]}/q/$(printf '%016x' "$2")"
}

# submit_job NUMBER TASKS MS - hands in a job of tasks that take MS.
submit_job ()
{
  call_job POST "$1" -f -o /dev/null -d "{\"spec\":\"$3\",\"phases\":[
    {\"count\":$2,\"cpu\":1000,\"mem_mb\":64,\"est_runtime_ms\":$3}]}"
}

job_is_completed ()
{
  call_job GET "$1" | grep -q '"state":"completed"'
}

count_logged ()
{
  grep -c "$1" "$run_dir/celld-p.log"
}

# sleep_until MS - sleeps until MS after $started_at.
sleep_until ()
{
  local left=$(($1 + started_at - $(get_time_ms)))

  [ $left -le 0 ] || sleep "$(printf '%d.%03d' $((left / 1000)) $((left % 1000)))"
}

# Half of the tasks end while their instances can't be reached, the others run
# on until all is over.
for number in 1 2 3 4 5 6
do
  wait_for 20 submit_job $number 2 2000 || echo "job $number is not accepted"
  wait_for 20 submit_job $((number + 6)) 2 14000 \
    || echo "job $((number + 6)) is not accepted"
done
wait_for 20 grep -q 'Agent connected.*agent=a3' "$run_dir/celld-p.log" \
  || echo "the agents are not connected"
started_at=$(get_time_ms)
# The instances of zone z2 are i-1, i-4, i-7 and i-10.
for instance in i-1 i-4 i-7
do
  change_network instance "instance=$instance&cut=1" >/dev/null
done
sleep_until "$zone_cut_after_ms"
change_network zone 'zone=z2&cut=1' >/dev/null
sleep_until "$instance_cut_ms"
for instance in i-1 i-4 i-7
do
  change_network instance "instance=$instance&cut=0" >/dev/null
done
sleep_until $((zone_cut_after_ms + zone_cut_ms))
change_network zone 'zone=z2&cut=0' >/dev/null
for number in $(seq 1 12)
do
  wait_for 60 job_is_completed "$number" || echo "job $number is not completed"
done
[ "$(count_logged 'Instance does not answer')" -ge 1 ] \
  || echo "no instance was reported as silent"
[ "$(count_logged 'Agent disconnected')" -ge 2 ] \
  || echo "the planner lost no agents"
account=$(http_get "${http_address_of[platform]}" /account)
echo "done $(echo "$account" | jq .done) twice $(echo "$account" | jq .twice)"
[ -z "${KEEP_LOGS:-}" ] || cp "$run_dir"/*.log "$KEEP_LOGS"
