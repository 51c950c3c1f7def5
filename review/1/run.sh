#!/bin/bash
# The machine whose celld is the planner is stopped by SIGTERM and started
# again, as in a rolling restart, while the first occurrence of a repeating
# job runs.  With HOW=KILL the planner is killed instead.
case_dir=$(cd "$(dirname "$0")" && pwd)
. "$case_dir/../lib.sh"

export BED_DELAY_MS=${BED_DELAY_MS:-10}
begin_case za:16:4000:16000 zb:16:4000:16000 zc:16:4000:16000
put_operator_key op/config "$(print_config 3 '"key-1"')"
start_machine a za 127.0.0.1
start_machine b zb 127.0.0.1
start_machine c zc 127.0.0.1
wait_until 20 is_ready a b c || fail_to_run "not ready"
sleep 2

# Two occurrences, 12 s apart, of 60 tasks that take 5 s; the first is due in
# 2 s.
id=5c0e7a21d94b36f8
start_at=$(($(date +%s%3N) + 2000))
submit a $id "{\"spec\":\"5000\",\"repeats\":2,\"start_at_ms\":$start_at,
\"period_ms\":12000,\"phases\":[{\"count\":60,\"cpu\":1000,\"mem_mb\":256,
\"est_runtime_ms\":5000}]}" || fail_to_run "the job was not accepted"

all_run ()
{
  [ "$(control running)" -eq 60 ]
}
wait_until 10 all_run || fail_to_run "the tasks do not run"
sleep 1
victim=$(planner)
other=b
[ "$victim" = b ] && other=c
if [ "$TROUBLE" = 1 ] && [ "${HOW:-TERM}" = KILL ]
then
  kill_daemon "celld-$victim"
  sleep 0.5
  start_daemon "celld-$victim" rosemarystile-celld
elif [ "$TROUBLE" = 1 ]
then
  restart_machine "$victim"
fi
wait_until 40 has_state $other $id completed || note "the job is not completed"
end_case
