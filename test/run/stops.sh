# Draws planned stops, kills and restarts of a cell's processes, and pauses of the
# store, while many callers submit jobs.  Guards against a job that was answered
# 503 or 429 and exists afterwards (REFUSED), one that was answered 200 and does
# not complete, and a call that is read and never answered.
# STOPS_SEEDS: the seeds, one cell each; STOPS_ENTRIES: entry instances of a cell;
# STOPS_VERBOSE=1 prints what was drawn and how the callers were answered.
. test/run/lib.sh
seeds=${STOPS_SEEDS:-1 2 3 4}
entries=${STOPS_ENTRIES:-4}
burst_size=20
declare -A stopped_at
configuration='{"version":3,
 "routes":[{"name":"q","host":"h.example","prefix":"/q/","service":"pool",
   "priority":1,"attempts":3,"slack_factor":2.0,"target_latency_ms":9000}],
 "services":[{"name":"pool"}],
 "tenants":[{"name":"t","api_keys":["key-1"],"weight":1000}]}'
log_verbose ()
{
  [ -z "${STOPS_VERBOSE:-}" ] || echo "$(date +%T.%3N) $*"
}

# draw MIN MAX - sets $drawn to a number from MIN to MAX.
draw ()
{
  drawn=$(($1 + (RANDOM * 32768 + RANDOM) % ($2 - $1 + 1)))
}

# find_planner - prints the entry whose celld became the planner last.
find_planner ()
{
  grep -H 'This process is the planner' "$run_dir"/celld-e*.log \
    | sed 's/.*celld-\(e[0-9]*\)\.log.*epoch=\([0-9]*\).*/\2 \1/' | sort -n \
    | tail -1 | cut -d' ' -f2
}

# draw_entry - sets $entry to the planner's or another entry, alike often.
draw_entry ()
{
  draw 1 $((2 * entries))
  entry=e$drawn
  [ "$drawn" -le "$entries" ] || entry=$(find_planner)
}

# call_entry ENTRY METHOD ID [CURL OPTION...] - prints the status and the body.
call_entry ()
{
  local body

  body=$(mktemp -p "$run_dir")
  curl -sS --max-time 4 -o "$body" -w '%{http_code} ' -X "$2" \
    -H 'Host: h.example' -H 'X-Rosemarystile-Key: key-1' "${@:4}" \
    "http://${http_address_of[jobd-$1]}/q/$3" 2>/dev/null
  cat "$body"
  rm -f "$body"
}

# submit_burst ENTRY - submits jobs at the same time, each over a connection of
# its own, in the background.
submit_burst ()
{
  local i name=burst-$next_id

  for i in $(seq 1 $burst_size)
  do
    next_id=$((next_id + 1))
    [ "$i" -eq 1 ] || echo next
    cat <<END
url = "http://${http_address_of[jobd-$1]}/q/$(printf '%016x' $next_id)"
output = "/dev/null"
silent
max-time = 7
header = "Host: h.example"
header = "X-Rosemarystile-Key: key-1"
header = "X-Rosemarystile-Deadline-Ms: 3000"
data = "{\"spec\":\"20\",\"phases\":[{\"cpu\":500}]}"
write-out = "$(printf '%016x' $next_id) %{http_code} %{time_total}\n"
END
  done >"$run_dir/$name"
  curl -Z --parallel-immediate --parallel-max $burst_size \
    -K "$run_dir/$name" >"$run_dir/answers-$name" 2>/dev/null &
  burst_pids+=($!)
}

process_has_ended ()
{
  ! kill -0 "${pid_of[$1]}" 2>/dev/null
}

# restart_entry ENTRY - starts both processes again.  A jobd that is stopped ends
# within 6 s and is not killed before.
restart_entry ()
{
  local left_ms=0

  if [ -n "${stopped_at[$1]:-}" ]
  then
    left_ms=$((stopped_at[$1] + 6000 - $(get_time_ms)))
    wait_for $(((left_ms > 0 ? left_ms + 999 : 0) / 1000)) \
      process_has_ended "jobd-$1" || echo "seed $seed: jobd of $1 does not end"
  fi
  kill_process "celld-$1"
  kill_process "jobd-$1"
  start_celld "$1" && start_jobd "$1"
}

# draw_events - prints what happens when, one event a line: milliseconds, event,
# argument.  Half of the jobs are submitted right before the store is paused, at
# the entry that is stopped first.
draw_events ()
{
  local pause length at count i

  draw 1500 4000; pause=$drawn
  draw 500 4500; length=$drawn
  echo "$pause pause"
  echo "$((pause + length)) resume"
  draw $((pause - 2900)) $((pause - 500)); at=$drawn
  echo "$((at > 0 ? at : 0)) stop"
  draw 0 2; count=$drawn
  for i in $(seq 1 "$count")
  do
    draw 0 4500; at=$drawn
    draw 1 4
    case $drawn in
      1) echo "$at kill" ;;
      *) echo "$at stop" ;;
    esac
  done
  for i in $(seq 1 6)
  do
    draw 0 30
    echo "$((pause - drawn)) burst stopped"
    draw 0 5500; at=$drawn
    draw 1 "$entries"
    echo "$at burst e$drawn"
  done
  draw 6500 8000
  echo "$drawn restart"
}

run_event ()
{
  case $1 in
    pause) kill -STOP "${pid_of[platform]}" ;;
    resume) kill -CONT "${pid_of[platform]}" ;;
    burst)
      [ "$2" = stopped ] && set -- burst "$(echo "$stopped" | cut -d' ' -f2)"
      submit_burst "${2:-e1}"
      ;;
    stop)
      draw_entry
      log_verbose "stop $entry, planner $(find_planner)"
      kill -TERM "${pid_of[jobd-$entry]}" "${pid_of[celld-$entry]}" 2>/dev/null
      stopped_at[$entry]=${stopped_at[$entry]:-$(get_time_ms)}
      stopped+=" $entry"
      ;;
    kill)
      draw_entry
      log_verbose "kill celld of $entry, planner $(find_planner)"
      kill_process "celld-$entry"
      stopped+=" $entry"
      ;;
    restart)
      for entry in $(echo "$stopped" | tr ' ' '\n' | sort -u)
      do
        restart_entry "$entry" || exit 1
      done
      ;;
  esac
}

# job_is ID STATUS [TEXT] - whether a GET is answered so.
job_is ()
{
  call_entry e1 GET "$1" | grep -q "^$2.*${3:-}"
}

# run_seed SEED - adds to the counters that are printed at the end.
run_seed ()
{
  local begin at event argument now i id status held

  RANDOM=$1
  next_id=$(($1 * 100000))
  burst_pids=() stopped="" stopped_at=()
  rm -f "$run_dir"/answers-*
  start_platform 8 || exit 1
  put_operator_key op/config "$configuration"
  for i in $(seq 1 "$entries")
  do
    start_celld "e$i" && start_jobd "e$i" || exit 1
  done
  for i in $(seq 1 "$entries")
  do
    wait_for 20 eval "call_entry e$i POST $(printf '%016x' "$i") \
      -d '{\"spec\":\"20\",\"phases\":[{\"cpu\":500}]}' | grep -q ^200" \
      || echo "seed $1: e$i does not accept a job"
  done
  draw_events >"$run_dir/events"
  begin=$(get_time_ms)
  while read -r at event argument
  do
    now=$(($(get_time_ms) - begin))
    [ "$now" -ge "$at" ] \
      || sleep "$(awk -v ms=$((at - now)) 'BEGIN { print ms / 1000 }')"
    run_event "$event" "$argument"
  done < <(sort -n "$run_dir/events")
  wait "${burst_pids[@]}"
  cat "$run_dir"/answers-* >"$run_dir/all-answers"
  submitted=$((submitted + $(wc -l <"$run_dir/all-answers")))
  # Other calls without an answer were sent to processes that had ended.
  held=$(awk '$2 == "000" && $3 > 0.2' "$run_dir/all-answers" | wc -l)
  unanswered=$((unanswered + held))
  log_verbose "seed $1:" \
    "$(awk '{ n[$2]++ } END { for (s in n) printf "%s: %d  ", s, n[s] }' \
      "$run_dir/all-answers")" "read and not answered: $held"
  wait_for 20 job_is "$(printf '%016x' 1)" 200 \
    || echo "seed $1: e1 does not answer"
  while read -r id status at
  do
    case $status in
      429|503)
        rejected_count=$((rejected_count + 1))
        wait_for 10 job_is "$id" 410 \
          || { rejected_known=$((rejected_known + 1))
               echo "seed $1: job $id was answered $status and exists"; }
        ;;
      200)
        wait_for 20 job_is "$id" 200 completed \
          || { unfinished=$((unfinished + 1))
               echo "seed $1: job $id was accepted and does not complete"; }
        ;;
    esac
  done <"$run_dir/all-answers"
  kill_all_processes
}

submitted=0 rejected_count=0 rejected_known=0 unfinished=0 unanswered=0
for seed in $seeds
do
  run_seed "$seed"
done
log_verbose "rejected: $rejected_count"
echo "submitted: $submitted, rejected and known: $rejected_known," \
  "accepted and unfinished: $unfinished, read and not answered: $unanswered"
