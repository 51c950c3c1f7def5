#!/bin/bash
# The planner's process is killed on machines with narrow links.
case_dir=$(cd "$(dirname "$0")" && pwd)
. "$case_dir/../lib.sh"

begin_case za:4:4000:16000 zb:4:4000:16000 zc:4:4000:16000
put_operator_key op/config "$(print_config 3 '"key-1"')"
for name in a b c
do
  target/review/narrow "$bed" "${KBIT:-2000}" >"$run_dir/narrow-$name.out" &
  pid_of[narrow-$name]=$!
  wait_until 10 grep -q '^ready' "$run_dir/narrow-$name.out" \
    || fail_to_run "narrow"
  store_of[$name]=$(sed -n 's/^ready http=//p' "$run_dir/narrow-$name.out")
done
cpu_share=0.12
link_mbps=2.0
start_machine a za 127.0.0.1
start_machine b zb 127.0.0.1
start_machine c zc 127.0.0.1
wait_until 20 is_ready a b c || fail_to_run "not ready"
sleep 2

# 600 jobs of two tasks of 0.3 s, each with a spec of 900 bytes, in about 20 s.
padding=$(printf '%0890d' 0)
submit_many ()
{
  local number

  for number in $(seq "$2" "$3")
  do
    submit "$1" "$(printf '5c0e7a21d94b%04x' "$number")" "{\"spec\":\"300 $padding\",
\"phases\":[{\"count\":2,\"cpu\":500,\"mem_mb\":256,\"est_runtime_ms\":300}]}" \
      || note "not accepted"
    sleep 0.06
  done
}
submit_many a 0 199 &
first=$!
submit_many b 200 399 &
second=$!
submit_many c 400 599 &
third=$!
wait $first $second $third

victim=$(planner)
if [ "$TROUBLE" = 1 ]
then
  kill_daemon "celld-$victim"
  sleep 0.5
  start_daemon "celld-$victim" rosemarystile-celld
fi
# recovery_s 15
sleep 15
note "15 s later"
served=0
for number in $(seq 1 10)
do
  call a POST "/q/$(printf '6d1f8b32ea5c%04x' "$number")" '{"spec":"300",
"phases":[{"count":2,"cpu":500,"mem_mb":256,"est_runtime_ms":300}]}' \
    | grep -q '^200' && served=$((served + 1))
done
# Each of the accepted jobs that are asked for has 5 tries of 3 s.
unanswered=0
for number in 0 250 599
do
  known=no
  for machine in a b c a b
  do
    call $machine GET "/q/$(printf '5c0e7a21d94b%04x' "$number")" \
      | grep -q '^200' && known=yes && break
  done
  [ $known = yes ] || unanswered=$((unanswered + 1))
done
echo "served $served of 10, $unanswered of 3 accepted jobs without an answer"
note "served $served of 10, $unanswered of 3 accepted jobs without an answer"
if [ $unanswered -gt 0 ] || [ $served -lt 3 ]
then
  note "the rules LOST and RECOVER were broken"
  exit 1
fi
note "the rule held"
exit 0
