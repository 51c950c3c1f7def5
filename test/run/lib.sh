# Functions of the scripted runs.  Sets $bin_dir and $run_dir.  Exiting kills
# all started processes and removes $run_dir.
set -u
export LC_ALL=C
bin_dir=${RST_BIN:-build}
run_dir=$(mktemp -d)
. tools/lib/cluster.sh
clean_up ()
{
  kill_all_processes
  # Prints sanitizer reports, so that the output differs from the expected one.
  grep -h -A 24 'Sanitizer' "$run_dir"/*.log 2>/dev/null | head -60
  rm -rf "$run_dir"
}
trap clean_up EXIT
trap 'exit 130' INT TERM

# call_entry KEY PATH [CURL OPTION...] - calls entry $entry and prints status
# and body of the response, with names of instances replaced by X.
call_entry ()
{
  local key=$1 path=$2

  shift 2
  curl -sS --max-time 20 -o "$run_dir/body" -w '%{http_code} ' \
    -H "Authorization: Bearer $key" "$@" \
    "http://${http_address_of[entryd-$entry]}$path"
  sed -E 's/"owner":"[^"]*"/"owner":"X"/; s/"instance":"[^"]*"/"instance":"X"/; s/largest, [^,]*,/largest, X,/' \
    "$run_dir/body"
  echo
}

# start_cell ENTRIES RUNNERS WORKERS - starts a cell with one zone, z1, and
# waits until every instance has a ready owner and every entry knows all slots.
start_cell ()
{
  local i

  start_store && start_instance_list 100 && start_fleet z1 "$2" "$3" || exit 1
  for i in $(seq 1 "$1")
  do
    start_schedd z1 "e$i" && start_entryd z1 "e$i" || exit 1
  done
  ctl zone in z1 >/dev/null
  # A scheduler that joins late takes over instances.  Until it is ready, all
  # slots may be unavailable, and requests are rejected.
  wait_for 20 instances_are_balanced "$1" $(($2 + $3)) \
    || echo "instances are not balanced over the schedulers"
  wait_for 20 all_instances_are_owned $(($2 + $3)) \
    || echo "some instances have no ready owner"
  for i in $(seq 1 "$1")
  do
    wait_for 20 entry_sees_slots "e$i" "$(($2 * 8))" \
      || echo "e$i does not see all slots"
  done
}

# instances_are_balanced ENTRIES INSTANCES - whether each of the schedulers e1,
# e2, ... owns at least one instance and at most one more than its share, so
# that none has yet to join or to hand instances over.
instances_are_balanced ()
{
  local i owned

  for i in $(seq 1 "$1")
  do
    owned=$(http_get "${http_address_of[schedd-e$i]}" /status \
      | jq '[.instances[] | select(.ready)] | length')
    [ "${owned:-0}" -ge 1 ] && [ "$owned" -le $((($2 + $1 - 1) / $1 + 1)) ] \
      || return 1
  done
}

# entry_sees_slots NAME COUNT - whether an entry knows of COUNT free slots.
entry_sees_slots ()
{
  [ "$(http_get "${http_address_of[entryd-$1]}" /status \
    | jq '[.schedulers[].slots_free] | add')" -eq "$2" ]
}

# grant_key TEAM ID - creates a key, waits until entry $entry accepts it and
# prints it.
grant_key ()
{
  local key

  key=$(ctl key grant "$1" --id "$2" | sed -n 's/^key //p')
  wait_for 10 key_is_accepted "$key" || echo "key is not accepted" >&2
  echo "$key"
}

# key_is_accepted KEY - whether entry $entry accepts a key.
key_is_accepted ()
{
  [ "$(curl -s -o /dev/null -w '%{http_code}' --max-time 5 \
    -H "Authorization: Bearer $1" \
    "http://${http_address_of[entryd-$entry]}/v1/jobs")" = 200 ]
}

# job_is_in_state KEY ID STATE - whether entry $entry reports a job in STATE.
job_is_in_state ()
{
  [ "$(curl -s --max-time 5 -H "Authorization: Bearer $1" \
    "http://${http_address_of[entryd-$entry]}/v1/jobs/$2" \
    | jq -r .state)" = "$3" ]
}
