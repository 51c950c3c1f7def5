#!/bin/bash
# Case 8; claim.txt tells what it shows.
#   TROUBLE=0  the machine does not freeze
cd "$(dirname "$0")/../.." || exit 2
case_dir=review/8
. review/lib-2.sh
cancel_ms=3000
kill_grace_ms=400

start_platform 1 || give_up "the platform did not start"
put_operator_key op/config '{"version":3,
 "routes":[
  {"name":"r","host":"h.example","prefix":"/r/","service":"runners",
   "priority":1,"attempts":4,"slack_factor":2.2,"target_latency_ms":1000}],
 "services":[{"name":"runners"}],
 "tenants":[{"name":"u","api_keys":["key-1"],"weight":100}]}'
for name in e1 e2 e3
do
  start_celld2 $name && start_jobd2 $name || give_up "a daemon did not start"
done
for id in r1 r2 r3 r4
do
  start_runner $id || give_up "a runner did not start"
done
wait_until 20 submit e1 /r/00000000000000a1 '{"spec":"run:100",
  "phases":[{"count":1,"cpu":1000,"mem_mb":100,"est_runtime_ms":100}]}' \
  || give_up "the first job is not accepted"
wait_until 10 shows e1 /r/00000000000000a1 completed \
  || give_up "the first job is not completed"
planner=$(grep -l 'This process is the planner' "$run_dir"/celld-*.log \
  | tail -1 | sed 's/.*celld-\(.*\)\.log/\1/')
for frozen in e1 e2 e3
do
  [ "$frozen" != "$planner" ] && break
done
for other in e1 e2 e3
do
  [ "$other" != "$planner" ] && [ "$other" != "$frozen" ] && break
done
if [ "$trouble" != 0 ]
then
  say "machine $frozen freezes (its jobd and its celld); the planner is $planner"
  kill -STOP "${pid_of[jobd-$frozen]}" "${pid_of[celld-$frozen]}"
fi
# The client leaves after half a second, and cancels the job: it doesn't know
# whether it was accepted.
say "client -> $frozen: POST /r/00000000000000b1, leaves after 500 ms"
code=$(curl -sS --max-time 0.5 -o /dev/null -w '%{http_code}' \
  -H 'Host: h.example' -H 'X-Rosemarystile-Key: key-1' \
  -H 'Content-Type: application/json' -H 'X-Rosemarystile-Deadline-Ms: 3000' \
  -d '{"spec":"run:12000","phases":[{"count":1,"cpu":4500,"mem_mb":8800,
    "est_runtime_ms":12000}]}' \
  "http://${http_address_of[jobd-$frozen]}/r/00000000000000b1" 2>/dev/null)
say "the answer to the POST: $code"
acked=none
for i in 1 2 3
do
  call "$other" DELETE /r/00000000000000b1
  case $status in 2??|410) acked=$(date +%s%3N) && break ;; esac
done
[ "$acked" = none ] && give_up "the cancel was not acknowledged"
sleep 3.2
if [ "$trouble" != 0 ]
then
  kill -CONT "${pid_of[jobd-$frozen]}" "${pid_of[celld-$frozen]}"
  say "machine $frozen wakes"
fi
sleep 10
call "$other" GET /r/00000000000000b1
late=$(awk -v after=$((acked + cancel_ms)) \
  '$1 > after && / start 00000000000000b1/' "$events" | wc -l)
runs=$(grep -c ' start 00000000000000b1' "$events")
ends=$(grep -cE ' (done|failed|stopped|lapsed) 00000000000000b1' "$events")
say "cancel acknowledged at $acked; starts later than $cancel_ms ms after: $late;" \
  "runs now, $(($(date +%s%3N) - acked)) ms after: $((runs - ends))"
[ "$late" -gt 0 ] || [ $((runs - ends)) -gt 0 ] \
  && finish_with 1 "UNASKED: the cancelled job was started and runs on"
finish_with 0 "the cancelled job does not run"
