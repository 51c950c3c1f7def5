#!/bin/bash
# A job of 250 tasks repeats every 100 ms for 100 s: its record in the journal
# outgrows a value of the store.  No disruption.  With TROUBLE=0 the period is
# 1 s.
case_dir=$(cd "$(dirname "$0")" && pwd)
. "$case_dir/../../lib.sh"

begin_case za:4:16000:65536 zb:4:16000:65536 zc:4:16000:65536
put_operator_key op/config "$(print_config 3 '"key-1"')"
start_machine a za 127.0.0.1
start_machine b zb 127.0.0.1
start_machine c zc 127.0.0.1
wait_until 20 is_ready a b c || fail_to_run "not ready"
period=100
[ "$TROUBLE" = 1 ] || period=1000
submit a 5c0e7a21d94b36f8 "{\"spec\":\"20\",\"repeats\":100000,
\"start_at_ms\":$(($(date +%s%3N) + 500)),\"period_ms\":$period,
\"phases\":[{\"count\":250,\"cpu\":100,\"mem_mb\":16,\"est_runtime_ms\":20}]}" \
  || fail_to_run "the job was not accepted"
sleep 85
accepted=0
for number in $(seq 1 10)
do
  call b POST "/q/$(printf '6d1f8b32ea5c%04x' "$number")" '{"spec":"20",
"phases":[{"count":1,"cpu":100,"mem_mb":16,"est_runtime_ms":20}]}' \
    | grep -q '^200' && accepted=$((accepted + 1))
done
echo "accepted $accepted of 10 jobs"
note "accepted $accepted of 10 jobs"
[ $accepted -ge 3 ] || exit 1
exit 0
