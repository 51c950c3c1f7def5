# What the programs say to bad arguments and settings: one line for each
# problem, exit status 2, nothing started.
. test/run/lib.sh

try ()
{
  "$@" 2>&1 | sed "s|$run|RUN|g; s|$bin/||g"
  echo "status ${PIPESTATUS[0]}"
}

for program in rosemarystile-schedd rosemarystile-entryd standin-store
do
  try "$bin/$program" --version
  try "$bin/$program"
  try "$bin/$program" --colour
  try "$bin/$program" --settings /nowhere
done
cat >"$run/bad.json" <<EOF
{
  "name": "e 1", "listen": "localhost:1", "status_listen": 5,
  "store": { "address": "127.0.0.1:1", "timeout_ms": 1, "colour": true },
  "list": 3,
  "tenure": { "quiet_ms": 600 },
  "peers": [ "nowhere" ]
}
EOF
try "$bin/rosemarystile-schedd" --settings "$run/bad.json"
cat >"$run/cross.json" <<EOF
{ "name": "e1", "availability_zone": "z1", "listen": "127.0.0.1:0",
  "status_listen": "127.0.0.1:0", "store": { "address": "127.0.0.1:1" },
  "list": { "address": "127.0.0.1:1" }, "tenure": { "quiet_ms": 600 },
  "peers": [ "nowhere" ] }
EOF
try "$bin/rosemarystile-schedd" --settings "$run/cross.json"
sed -i 's/"tenure.*//; s/"peers.*/"log": { "level": "info" } }/' "$run/cross.json"
try "$bin/rosemarystile-schedd" --settings "$run/cross.json" --check-settings
echo '{ "name": ' >"$run/cut.json"
try "$bin/rosemarystile-entryd" --settings "$run/cut.json"
try "$bin/rosemarystile-ctl" dance
try "$bin/rosemarystile-ctl" team set
try "$bin/rosemarystile-ctl" --store nowhere team list
try "$bin/rosemarystile-ctl" --store 127.0.0.1:1 team list
try "$bin/rosemarystile-ctl" --upper-limit many team set alpha
try "$bin/rosemarystile-load" --key k
