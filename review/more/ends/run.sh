#!/bin/bash
# The store is down for 4.5 s, in which more than 500 runs end on one runner.
case_dir=$(cd "$(dirname "$0")" && pwd)
. "$case_dir/../../lib.sh"

begin_case za:1:16000:65536 zb:1:16000:65536 zc:1:16000:65536
put_operator_key op/config "$(print_config 3 '"key-1"')"
start_machine a za 127.0.0.1
start_machine b zb 127.0.0.1
start_machine c zc 127.0.0.1
wait_until 20 is_ready a b c || fail_to_run "not ready"
sleep 2

# 13 jobs of 48 small tasks, 624 in all, of which 640 fit the first runner.
# The runs last 6 to 8 s.
begin=$(date +%s%3N)
for number in $(seq 0 12)
do
  submit a "$(printf '5c0e7a21d94b%04x' "$number")" "{\"spec\":\"$((6000 + 120 * number))\",\"phases\":[
{\"count\":48,\"cpu\":25,\"mem_mb\":64,\"est_runtime_ms\":7000}]}" \
    || fail_to_run "a job was not accepted"
done
sleep 2
[ "$(control running)" -eq 624 ] \
  || note "not all tasks run"
while [ $(($(date +%s%3N) - begin)) -lt 5800 ]
do
  sleep 0.02
done
[ "$TROUBLE" = 1 ] && control 'store?silent=1' >/dev/null
sleep 4.5
[ "$TROUBLE" = 1 ] && control 'store?silent=0' >/dev/null

all_done ()
{
  [ "$(control running)" -eq 0 ]
}
sleep 4
wait_until 40 all_done || note "tasks still run"
sleep 2
for number in $(seq 0 12)
do
  wait_until 15 has_state b "$(printf '5c0e7a21d94b%04x' "$number")" completed \
    || note "a job is not completed"
done
end_case
