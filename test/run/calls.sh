# Calls the HTTP interface of a small cell with valid and invalid requests.
. test/run/lib.sh
entry=e1
start_cell 2 2 2
ctl team set alpha --share 2 --upper-limit 40 >/dev/null
ctl team set beta --share 1 >/dev/null
alpha=$(grant_key alpha main)
beta=$(grant_key beta main)

echo "# queries"
call_entry "$alpha" /v1/requests -d '{"n":1}'
call_entry wrong /v1/requests -d '{"n":1}'
call_entry "${alpha%?}x" /v1/requests -d '{"n":1}'
call_entry "$alpha" /v1/requests -d '{"n":1}' -H 'X-Idempotent: perhaps'
call_entry "$alpha" /v1/requests -d '{"n":1}' -H 'X-Deadline-Ms: soon'
call_entry "$alpha" /v1/requests -d '{"n":1}' -H 'X-Urgency: very'
call_entry "$alpha" /v1/nothing -d '{"n":1}'
call_entry "$alpha" /v1/requests -d '{"n":2,"run_ms":3000}' \
  -H 'X-Deadline-Ms: 300'

echo "# a request id answers repeats through any entry, and runs once"
call_entry "$alpha" /v1/requests -d '{"n":3}' -H 'Idempotency-Key: same'
entry=e2
call_entry "$alpha" /v1/requests -d '{"n":4}' -H 'Idempotency-Key: same'
call_entry "$beta" /v1/requests -d '{"n":5}' -H 'Idempotency-Key: same'

echo "# jobs"
call_entry "$alpha" /v1/jobs -d '{"id":"j1","policy":"batch","tasks":3,"cpu_milli":1000,"memory_mb":64,"run_ms":50,"run_once":true}'
wait_for 20 job_is_in_state "$alpha" j1 done || echo "job j1 is not done"
call_entry "$alpha" /v1/jobs/j1
call_entry "$alpha" /v1/jobs -d '{"id":"j1","policy":"batch","tasks":3,"cpu_milli":1000,"memory_mb":64,"run_ms":50,"run_once":true}'
call_entry "$alpha" /v1/jobs -d '{"id":"j1","policy":"batch","tasks":4,"cpu_milli":1000,"memory_mb":64,"run_ms":50,"run_once":true}'
call_entry "$beta" /v1/jobs/j1
call_entry "$alpha" /v1/jobs -d '{"id":"j2","policy":"batch","tasks":1,"cpu_milli":99000,"memory_mb":64,"run_ms":50}'
call_entry "$alpha" /v1/jobs -d '{"id":"j3","policy":"batch"}'
call_entry "$alpha" /v1/jobs -d '{"id":"a/b","policy":"batch"}'
call_entry "$alpha" /v1/jobs -d 'nonsense'
call_entry "$alpha" /v1/jobs -d '{"id":"s1","policy":"service","tasks":2,"cpu_milli":1000,"memory_mb":64}'
wait_for 20 job_is_in_state "$alpha" s1 running || echo "job s1 is not running"
call_entry "$alpha" /v1/jobs/s1 -X DELETE >/dev/null
wait_for 20 job_is_in_state "$alpha" s1 cancelled \
  || echo "job s1 is not cancelled"
call_entry "$alpha" /v1/jobs/s1
call_entry "$alpha" '/v1/jobs?state=done'

echo "# operators"
ctl key withdraw alpha main >/dev/null
key_is_rejected ()
{
  ! key_is_accepted "$1"
}
wait_for 10 key_is_rejected "$alpha" || echo "key is still accepted"
call_entry "$alpha" /v1/requests -d '{"n":6}'
ctl key withdraw alpha main
ctl team set 'no spaces'
ctl settings get settings/zones
echo '{ "share": 0 }' >"$run_dir/team.json"
ctl settings check settings/teams/alpha "$run_dir/team.json" 2>&1
ctl settings put settings/teams/alpha "$run_dir/team.json" 2>&1
ctl why alpha/none 2>&1

echo "# bodies over the bound"
head -c 1100000 /dev/zero | tr '\0' x >"$run_dir/large"
call_entry "$beta" /v1/requests --data-binary "@$run_dir/large" -H 'Expect:'

echo "# frames that are malformed close their connection and nothing else"
host=${frame_address_of[schedd-e1]%:*}
port=${frame_address_of[schedd-e1]#*:}
printf '\377\377\377\377' >"/dev/tcp/$host/$port"
printf '\0\0\0\3abc' >"/dev/tcp/$host/$port"
printf '\0\0\1\0cut' >"/dev/tcp/$host/$port"
sleep 0.5
grep -h -o 'net: .*\|link: .*' "$run_dir/schedd-e1.log" | sort
call_entry "$beta" /v1/requests -d '{"n":7}'

echo "# planned stop"
stop_process entryd-e2
echo "entry status $?"
stop_process schedd-e2
echo "scheduler status $?"
wait_for 10 all_instances_are_owned 4 || echo "instances are not handed over"
wait_for 20 entry_sees_slots e1 16 || echo "e1 does not see all slots"
entry=e1
call_entry "$beta" /v1/requests -d '{"n":8}'
echo "overcommitted $(sum_over_fleets overcommitted)" \
  "doubled $(sum_over_fleets doubled) twice $(count_repeated_queries)"
