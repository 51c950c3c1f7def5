#!/bin/bash
# A machine is stopped as planned while the store is silent: the client of a
# submission that its jobd has passed on is answered 503, and the job runs.
# See claim.txt.
cd "$(dirname "$0")/../.." || exit 2
case_dir=review/14
. review/lib-3.sh

start_platform
configure 3
for i in 1 2 3 4 5 6 7 8
do
  start_runner "i-0a00000$i" small 16000
done
start_machines 3
submit_until_accepted e1 00000000000000a1 \
  '{"spec":"100","phases":[{"count":2,"cpu":1000,"mem_mb":100,"est_runtime_ms":100}]}'
sleep 3

# The machine that is stopped is not that of the planner.
planner=$(find_planner)
for entry in e1 e2 e3
do
  [ "$entry" != "$planner" ] && break
done
say "planner: $planner; SIGTERM of both programs of $entry"
kill -TERM "${pid[jobd-$entry]}" "${pid[celld-$entry]}"
# Two checks of its readiness, one a second, fail before it gets no new
# connections.
sleep 1.9
# Many users come at once (burst): 60 jobs, whose clients don't ask again after
# an answer of 503.
for k in $(seq 1 60)
do
  [ "$k" -gt 1 ] && echo next
  id=$(printf 'b%015x' "$k")
  cat <<EOF
url = "http://${address[jobd-$entry]}/q/$id"
output = "/dev/null"
silent
max-time = 6
header = "Host: h.example"
header = "X-Rosemarystile-Key: key-1"
header = "X-Rosemarystile-Deadline-Ms: 3000"
data = "{\"spec\":\"500\",\"phases\":[{\"count\":1,\"cpu\":1000,\"mem_mb\":100,\"est_runtime_ms\":500}]}"
write-out = "submit $id: %{http_code} after %{time_total} s\n"
EOF
done >"$work/burst"
curl -Z --parallel-immediate --parallel-max 60 -K "$work/burst" \
  >"$work/answers" 2>/dev/null &
clients=$!
call "$planner" /q/00000000000000a2 -d '{"spec":"100","phases":[{"count":1,"cpu":1000,"mem_mb":100,"est_runtime_ms":100}]}'
if [ "$TROUBLE" = 1 ]
then
  kill -STOP "${pid[platform]}"
  paused=$(now_ms)
  say "platform_down silent: the store is paused"
fi
wait $clients
cat "$work/answers" >>"$record"
if [ "$TROUBLE" = 1 ]
then
  # The store is down for 4.5 s in all.
  left=$((paused + 4500 - $(now_ms)))
  [ "$left" -gt 0 ] && sleep "$(awk -v ms="$left" 'BEGIN { print ms / 1000 }')"
  kill -CONT "${pid[platform]}"
  say "the store goes on"
fi
sleep 8
broken=0
for k in $(seq 1 60)
do
  id=$(printf 'b%015x' "$k")
  answer=$(grep "submit $id: " "$record" | awk '{ print $3 }')
  starts=$(grep -c " start $id" "$work/runs")
  case $answer in
    429 | 503)
      [ "$starts" -gt 0 ] && broken=$((broken + 1)) \
        && say "job $id: its only attempt was answered $answer; starts: $starts"
      ;;
  esac
done
say "submissions: 60; answered 503: $(grep -c 'submit b.*: 503 ' "$record")," \
  "200: $(grep -c 'submit b.*: 200' "$record"), not at all:" \
  "$(grep -c 'submit b.*: 000' "$record"); rejected and started: $broken"
[ "$broken" -gt 0 ] && finish broken
finish held
