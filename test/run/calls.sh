# Each call of the interface, good and bad, on a small cell.
. test/run/lib.sh
entry=e1
start_cell 2 2 2
ctl team set alpha --share 2 --upper-limit 40 >/dev/null
ctl team set beta --share 1 >/dev/null
alpha=$(grant alpha main)
beta=$(grant beta main)

echo "# queries"
call "$alpha" /v1/requests -d '{"n":1}'
call wrong /v1/requests -d '{"n":1}'
call "${alpha%?}x" /v1/requests -d '{"n":1}'
call "$alpha" /v1/requests -d '{"n":1}' -H 'X-Idempotent: perhaps'
call "$alpha" /v1/requests -d '{"n":1}' -H 'X-Deadline-Ms: soon'
call "$alpha" /v1/requests -d '{"n":1}' -H 'X-Urgency: very'
call "$alpha" /v1/nothing -d '{"n":1}'
call "$alpha" /v1/requests -d '{"n":2,"run_ms":3000}' -H 'X-Deadline-Ms: 300'

echo "# a request id answers repeats through any entry, and runs once"
call "$alpha" /v1/requests -d '{"n":3}' -H 'Idempotency-Key: same'
entry=e2
call "$alpha" /v1/requests -d '{"n":4}' -H 'Idempotency-Key: same'
call "$beta" /v1/requests -d '{"n":5}' -H 'Idempotency-Key: same'

echo "# jobs"
call "$alpha" /v1/jobs -d '{"id":"j1","policy":"batch","tasks":3,"cpu_milli":1000,"memory_mb":64,"run_ms":50,"run_once":true}'
wait_for 20 job_state "$alpha" j1 done || echo "not done"
call "$alpha" /v1/jobs/j1
call "$alpha" /v1/jobs -d '{"id":"j1","policy":"batch","tasks":3,"cpu_milli":1000,"memory_mb":64,"run_ms":50,"run_once":true}'
call "$alpha" /v1/jobs -d '{"id":"j1","policy":"batch","tasks":4,"cpu_milli":1000,"memory_mb":64,"run_ms":50,"run_once":true}'
call "$beta" /v1/jobs/j1
call "$alpha" /v1/jobs -d '{"id":"j2","policy":"batch","tasks":1,"cpu_milli":99000,"memory_mb":64,"run_ms":50}'
call "$alpha" /v1/jobs -d '{"id":"j3","policy":"batch"}'
call "$alpha" /v1/jobs -d '{"id":"a/b","policy":"batch"}'
call "$alpha" /v1/jobs -d 'nonsense'
call "$alpha" /v1/jobs -d '{"id":"s1","policy":"service","tasks":2,"cpu_milli":1000,"memory_mb":64}'
wait_for 20 job_state "$alpha" s1 running || echo "not running"
call "$alpha" /v1/jobs/s1 -X DELETE >/dev/null
wait_for 20 job_state "$alpha" s1 cancelled || echo "not cancelled"
call "$alpha" /v1/jobs/s1
call "$alpha" '/v1/jobs?state=done'

echo "# operators"
ctl key withdraw alpha main >/dev/null
refused ()
{
  ! accepted "$1"
}
wait_for 10 refused "$alpha" || echo "still accepted"
call "$alpha" /v1/requests -d '{"n":6}'
ctl key withdraw alpha main
ctl team set 'no spaces'
ctl settings get settings/zones
echo '{ "share": 0 }' >"$run/team.json"
ctl settings check settings/teams/alpha "$run/team.json" 2>&1
ctl settings put settings/teams/alpha "$run/team.json" 2>&1
ctl why alpha/none 2>&1

echo "# bodies over the bound"
head -c 1100000 /dev/zero | tr '\0' x >"$run/large"
call "$beta" /v1/requests --data-binary "@$run/large" -H 'Expect:'

echo "# frames that are malformed close their connection and nothing else"
host=${address_of[schedd-e1]%:*}
port=${address_of[schedd-e1]#*:}
printf '\377\377\377\377' >"/dev/tcp/$host/$port"
printf '\0\0\0\3abc' >"/dev/tcp/$host/$port"
printf '\0\0\1\0cut' >"/dev/tcp/$host/$port"
sleep 0.5
grep -h -o 'net: .*\|link: .*' "$run/schedd-e1.log" | sort
call "$beta" /v1/requests -d '{"n":7}'

echo "# planned stop"
stop entryd-e2
echo "entry status $?"
stop schedd-e2
echo "scheduler status $?"
wait_for 10 all_owned 4 || echo "not handed over"
wait_for 20 sees_slots e1 16 || echo "e1 sees no slots"
entry=e1
call "$beta" /v1/requests -d '{"n":8}'
echo "overcommitted $(fleet_sum overcommitted) doubled $(fleet_sum doubled) twice $(ran_twice)"
