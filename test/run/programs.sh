# Starts the programs with invalid arguments and settings.  Each prints one
# line for each problem, exits with status 2 and starts nothing.
. test/run/lib.sh

# run_program PROGRAM [ARGUMENT...] - prints a program's output and status.
run_program ()
{
  "$@" 2>&1 | sed "s|$run_dir|RUN|g; s|$bin_dir/||g"
  echo "status ${PIPESTATUS[0]}"
}

for program in rosemarystile-schedd rosemarystile-entryd standin-store
do
  run_program "$bin_dir/$program" --version
  run_program "$bin_dir/$program"
  run_program "$bin_dir/$program" --colour
  run_program "$bin_dir/$program" --settings /nowhere
done
cat >"$run_dir/bad.json" <<EOF
{
  "name": "e 1", "listen": "localhost:1", "status_listen": 5,
  "store": { "address": "127.0.0.1:1", "timeout_ms": 1, "colour": true },
  "list": 3,
  "tenure": { "quiet_ms": 600 },
  "peers": [ "nowhere" ]
}
EOF
run_program "$bin_dir/rosemarystile-schedd" --settings "$run_dir/bad.json"
cat >"$run_dir/cross.json" <<EOF
{ "name": "e1", "availability_zone": "z1", "listen": "127.0.0.1:0",
  "status_listen": "127.0.0.1:0", "store": { "address": "127.0.0.1:1" },
  "list": { "address": "127.0.0.1:1" }, "tenure": { "quiet_ms": 600 },
  "peers": [ "nowhere" ] }
EOF
run_program "$bin_dir/rosemarystile-schedd" --settings "$run_dir/cross.json"
sed -i 's/"tenure.*//; s/"peers.*/"log": { "level": "info" } }/' \
  "$run_dir/cross.json"
run_program "$bin_dir/rosemarystile-schedd" --settings "$run_dir/cross.json" \
  --check-settings
echo '{ "name": ' >"$run_dir/cut.json"
run_program "$bin_dir/rosemarystile-entryd" --settings "$run_dir/cut.json"
for program in schedd entryd jobd celld
do
  echo '{ "limits": { "memory_mb": "8", "max_fds": -1, "budget_bytes": {} } }' \
    >"$run_dir/limits.json"
  run_program "$bin_dir/rosemarystile-$program" \
    --settings "$run_dir/limits.json" | grep ': limits\.\|^status'
done
# Bounds that depend on each other.
cat >"$run_dir/limits.json" <<EOF
{ "name": "e1", "availability_zone": "z1", "listen": "127.0.0.1:0",
  "readiness": "127.0.0.1:0",
  "store": "127.0.0.1:1",
  "limits": { "memory_mb": 8, "max_fds": 100, "budget_bytes": 1000 } }
EOF
run_program "$bin_dir/rosemarystile-jobd" --settings "$run_dir/limits.json"
sed -i '/readiness/d' "$run_dir/limits.json"
run_program "$bin_dir/rosemarystile-celld" --settings "$run_dir/limits.json"
run_program "$bin_dir/rosemarystile-ctl" dance
run_program "$bin_dir/rosemarystile-ctl" team set
run_program "$bin_dir/rosemarystile-ctl" --store nowhere team list
run_program "$bin_dir/rosemarystile-ctl" --store 127.0.0.1:1 team list
run_program "$bin_dir/rosemarystile-ctl" --upper-limit many team set alpha
run_program "$bin_dir/rosemarystile-load" --key k
