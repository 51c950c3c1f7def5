#!/bin/bash
# Case 9; claim.txt tells what it shows.
#   TROUBLE=0  no runner is lost and the planner is not killed
#   KILL=0     a runner is lost, but the planner is not killed
cd "$(dirname "$0")/../.." || exit 2
case_dir=review/9
. review/lib-2.sh
visible_ms=3000

start_platform 1 || give_up "the platform did not start"
put_operator_key op/config '{"version":3,
 "routes":[
  {"name":"q","host":"h.example","prefix":"/q/","service":"runners",
   "priority":1,"attempts":4,"slack_factor":2.2,"target_latency_ms":1000},
  {"name":"r","host":"h.example","prefix":"/r/","service":"runners",
   "priority":1,"attempts":4,"slack_factor":2.2,"target_latency_ms":1000}],
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
# A job that is at work makes its runner the fullest, which is used first.
wait_until 20 submit e1 /q/00000000000000a1 '{"spec":"run:110000",
  "phases":[{"count":1,"cpu":8000,"mem_mb":100,"est_runtime_ms":110000}]}' \
  || give_up "the first job is not accepted"
wait_until 10 grep -q ' start 00000000000000a1' "$events" \
  || give_up "the first job does not start"
busy=$(awk '/ start 00000000000000a1/ { print $2 }' "$events")
sleep 2.5
planner=$(grep -l 'This process is the planner' "$run_dir"/celld-*.log \
  | tail -1 | sed 's/.*celld-\(.*\)\.log/\1/')
for entry in e1 e2 e3
do
  [ "$entry" != "$planner" ] && break
done
if [ "$trouble" != 0 ]
then
  say "runner $busy is lost for good and says nothing more"
  kill -STOP "${pid_of[runner-$busy]}"
fi
for n in 1 2 3 4
do
  wait_until 5 submit "$entry" /r/00000000000000b$n '{"spec":"run:1000",
    "phases":[{"count":1,"cpu":1000,"mem_mb":100,"est_runtime_ms":1000}]}' \
    || give_up "a job is not accepted"
done
accepted_at=$(date +%s%3N)
sleep 3
if [ "$trouble" != 0 ] && [ "${KILL:-1}" != 0 ]
then
  say "the planner, $planner, is killed"
  kill_process "celld-$planner"
fi
broken=0
for i in $(seq 1 14)
do
  sleep 0.7
  waiting=0
  for n in 1 2 3 4
  do
    grep -q " start 00000000000000b$n" "$events" || waiting=$((waiting + 1))
  done
  call "$entry" GET /r/
  shown=$(echo "$body" | sed -n 's/.*"pending":\([0-9]*\).*/\1/p')
  age=$(($(date +%s%3N) - accepted_at))
  say "$age ms after the jobs were accepted $waiting have not begun; shown: ${shown:-none}"
  [ -n "$shown" ] && [ "$age" -gt $((visible_ms + 2000)) ] \
    && [ $((shown * 2)) -lt "$waiting" ] && broken=$((broken + 1))
done
call "$entry" GET /r/00000000000000b1
[ "$broken" -gt 0 ] \
  && finish_with 1 "MIXED: $broken answers gave under half of the waiting jobs"
finish_with 0 "no answer gave under half of the waiting jobs"
