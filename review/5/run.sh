#!/bin/bash
# A machine freezes for 3 s; later, runners lose the path to another machine.
case_dir=$(cd "$(dirname "$0")" && pwd)
. "$case_dir/../lib.sh"

export BED_PATHS=1
begin_case za:24:4000:16000 zc:6:4000:16000
put_operator_key op/config "$(print_config 3 '"key-1"')"
# The first process becomes the planner; it is not disturbed.
start_machine c zc 127.0.0.1
wait_until 20 is_ready c || fail_to_run "not ready"
start_machine a za 127.0.0.1
start_machine b za 127.0.0.1
wait_until 20 is_ready a b || fail_to_run "not ready"
[ "$(planner)" = c ] || fail_to_run "another planner"
sleep 2

# 24 jobs of 3 tasks that take 26 s and 24 jobs of one task that takes 6 to
# 8 s; they fill 24 of 30 runners.
for number in $(seq 0 23)
do
  submit c "$(printf '5c0e7a21d94b%04x' "$number")" "{\"spec\":\"26000\",
\"phases\":[{\"count\":3,\"cpu\":1000,\"mem_mb\":256,\"est_runtime_ms\":26000}]}" \
    || fail_to_run "not accepted"
  submit c "$(printf '6d1f8b32ea5c%04x' "$number")" "{\"spec\":\"$((6000 + 350 * (number % 7)))\",
\"phases\":[{\"count\":1,\"cpu\":1000,\"mem_mb\":256,\"est_runtime_ms\":7000}]}" \
    || fail_to_run "not accepted"
done
all_run ()
{
  [ "$(control running)" -eq 96 ]
}
wait_until 4 all_run || fail_to_run "the tasks do not run"

if [ "$TROUBLE" = 1 ]
then
  note "celld-a freezes"
  kill -STOP "${pid_of[celld-a]}"
  sleep 3
  kill -CONT "${pid_of[celld-a]}"
  note "celld-a wakes"
fi
sleep 6
both=$(comm -12 <(control "callers?pid=${pid_of[celld-a]}" | sort) \
  <(control "callers?pid=${pid_of[celld-b]}" | sort))
note "runners that celld-a and celld-b both call:" $both
if [ "$TROUBLE" = 1 ]
then
  # A fifth of the runners lose the path to one of three machines.
  cut=$(echo "$both" | head -6)
  for runner in $cut
  do
    control "path?id=$runner&pid=${pid_of[celld-b]}&silent=1" >/dev/null
  done
  sleep 5
  for runner in $cut
  do
    control "path?id=$runner&pid=${pid_of[celld-b]}&silent=0" >/dev/null
  done
fi
for number in $(seq 0 23)
do
  wait_until 40 has_state c "$(printf '5c0e7a21d94b%04x' "$number")" completed \
    || note "a job is not completed"
done
end_case
