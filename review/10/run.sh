#!/bin/bash
# Case 10; claim.txt tells what it shows.
#   TROUBLE=0  the runner does not crash
#   SIZE=16    checkpoints are as long as that of the example on the pages
cd "$(dirname "$0")/../.." || exit 2
case_dir=review/10
. review/lib-2.sh
size=${SIZE:-80}

start_platform 1 || give_up "the platform did not start"
put_operator_key op/config '{"version":3,
 "routes":[
  {"name":"r","host":"h.example","prefix":"/r/","service":"runners",
   "priority":2,"attempts":3,"slack_factor":4.0,"target_latency_ms":3000}],
 "services":[{"name":"runners"}],
 "tenants":[{"name":"u","api_keys":["key-1"],"weight":100}]}'
for name in e1 e2 e3
do
  start_celld2 $name && start_jobd2 $name || give_up "a daemon did not start"
done
for id in r1 r2 r3 r4 r5 r6 r7 r8
do
  start_runner $id || give_up "a runner did not start"
done

wait_until 20 submit e1 /r/00000000000000d1 "{\"spec\":\"save:8000:$size\",
  \"phases\":[{\"count\":1,\"cpu\":900,\"mem_mb\":2600,
  \"est_runtime_ms\":8000,\"checkpointing\":true}]}" \
  || give_up "the job is not accepted"
sleep 5
if [ "$trouble" != 0 ]
then
  victim=$(awk '/ start 00000000000000d1/ { print $2 }' "$events" | tail -1)
  [ -n "$victim" ] || give_up "the task does not run"
  say "runner $victim crashes; it is back in 2 s, as a new incarnation"
  kill_process "runner-$victim"
  sleep 2
  start_runner "$victim" || give_up "the runner did not start again"
fi
wait_until 30 shows e2 /r/00000000000000d1 completed \
  || give_up "the job does not complete"
wrong=0
for given in $(awk '/ start 00000000000000d1/ && $NF != "checkpoint)" \
  { print $NF }' "$events")
do
  if grep -q " saved 00000000000000d1\\.0\\.0\\.0 [0-9]* $given\$" "$events"
  then
    say "a start carried a checkpoint of the task: $given"
  else
    wrong=$((wrong + 1))
    say "a start carried a text that no runner gave for the task: $given"
  fi
done
[ "$wrong" -gt 0 ] && finish_with 1 "UNASKED: $wrong starts with a checkpoint that isn't the task's"
finish_with 0 "all checkpoints were the task's"
