#!/bin/bash
# Case 8; claim.txt tells what it shows.  Run in the repository root.
#   TROUBLE=0  the planner is not killed
case_dir=$(dirname "$0")
. review/lib-2.sh

# print_config VERSION KEYS
print_config ()
{
  echo "{\"version\":$1,
   \"routes\":[{\"name\":\"r\",\"host\":\"h.example\",\"prefix\":\"/r/\",
     \"service\":\"runners\",\"priority\":0,\"attempts\":3,
     \"slack_factor\":1.5,\"target_latency_ms\":250}],
   \"services\":[{\"name\":\"runners\"}],
   \"tenants\":[{\"name\":\"u\",\"api_keys\":[$2],\"weight\":100}]}"
}

# store_has ID - whether the journal in the store has a job's record.
store_has ()
{
  curl -sS --max-time 1 \
    "http://${http_address_of[platform]}/-/kv-range?prefix=rosemarystile/log/" \
    | jq -r '.items[].value' | while read -r value
  do
    echo "$value" | base64 -d | grep -qa "$1" && echo yes
  done | grep -q yes
}

start_platform 1 || give_up "the platform did not start"
start_proxy 240 || give_up "the proxy did not start"
put_operator_key op/config "$(print_config 3 '"key-1","key-2"')"
for name in e1 e2 e3
do
  start_celld2 $name "${http_address_of[proxy]}" \
    && start_jobd2 $name "${http_address_of[proxy]}" \
    || give_up "a daemon did not start"
done
for id in r1 r2 r3 r4
do
  start_runner $id || give_up "a runner did not start"
done
job='{"spec":"run:300","phases":[{"count":2,"cpu":1300,"mem_mb":100,
  "est_runtime_ms":300}]}'
key=key-2
wait_until 20 submit e1 /r/00000000000000a1 "$job" \
  || give_up "the first job is not accepted"
wait_until 10 shows e1 /r/00000000000000a1 completed \
  || give_up "the first job is not completed"
planner=$(grep -l 'This process is the planner' "$run_dir"/celld-*.log \
  | tail -1 | sed 's/.*celld-\(.*\)\.log/\1/')
for entry in e1 e2 e3
do
  [ "$entry" != "$planner" ] && break
done
say "the store takes 240 ms for an answer; the planner is $planner"
kill -USR1 "${pid_of[proxy]}"
sleep 1
id=00000000000000b1
(
  key=key-1
  call "$entry" POST /r/$id "$job"
  echo "$status" >"$run_dir/answer"
) &
caller=$!
for i in $(seq 1 200)
do
  store_has $id && break
  kill -0 $caller 2>/dev/null || break
done
if [ "$trouble" != 0 ]
then
  say "the planner is killed; the operator takes key-1 away"
  kill_process "celld-$planner"
else
  say "the operator takes key-1 away"
fi
put_operator_key op/config "$(print_config 7 '"key-2"')"
wait $caller
answer=$(cat "$run_dir/answer")
kill -USR2 "${pid_of[proxy]}"
say "the store is as fast as usual"
sleep 5
starts=$(grep -c " start $id" "$events")
key=key-2
call "$entry" GET /r/$id
say "the only call that handed the job in got $answer; its tasks started $starts times"
case $answer in
  4??|503)
    [ "$starts" -gt 0 ] && finish_with 1 "REFUSED: rejected with $answer, and run" ;;
esac
finish_with 0 "the answer was $answer"
