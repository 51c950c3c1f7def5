# What CI runs.  Guards against a check that nobody runs and one that can't run but
# looks as if it held: files that no build or test names, entries of KNOWN-RED.txt
# that excuse nothing, options that no run takes, tests that a filter misses.
cd "$(dirname "$0")/../.." || exit 1
export LC_ALL=C

# expect_named IN FILE... - prints the files whose name the text of IN lacks.
expect_named ()
{
  local in=$1 file

  shift
  for file in "$@"
  do
    grep -qF -- "$file" $in || echo "$file: not named in $in"
  done
}

expect_named CMakeLists.txt $(git ls-files 'src/*.c' 'platform/*.c' 'test/*.cc')
echo "sources: each is built"
for script in $(git ls-files 'test/run/*.sh' | grep -v /lib.sh)
do
  name=$(basename "$script" .sh)
  [ -f "test/run/$name.expected" ] || echo "$script: has no expected output"
  grep -qE "compare_output $name\$" tools/check \
    || echo "$script: tools/check does not run it"
done
echo "scripted runs: each is run"
loads=$(sed -n 's/^for load in //p; s/.*"replay: \([a-z]*\)".*/\1/p' tools/check)
for load in $(git ls-files 'test/replay/*.load')
do
  [[ " ${loads//$'\n'/ } " == *" $(basename "$load" .load) "* ]] \
    || echo "$load: tools/check does not replay it"
done
echo "loads: each is replayed"
expect_named "tools/check .ci/run test/run/sequences.sh" \
  $(git ls-files tools | grep -v ^tools/lib/)
echo "tools: each is run"
for option in $(sed -n 's|^  { "\(--[a-z-]*\)", &Options.*|\1|p' test/cell/fuzz.cc) \
  --listed-ends --attempts
do
  grep -qE "cell-fuzz .*$option |^ *(--[a-z]+ [0-9]+ )*$option [0-9]" \
    tools/check || grep -q -- "$option [0-9]" test/cell/faults \
    || echo "cell-fuzz $option: no run takes it"
done
echo "options of cell-fuzz: each is taken"
for arguments in "--nonsense 1" "--seed" "--help"
do
  # shellcheck disable=SC2086
  build/cell-fuzz $arguments >/dev/null 2>&1
  echo "cell-fuzz $arguments: status $?"
done
for list in test/fuzz/faults:src/coordination/fault_private.h:RST_FAULT_ \
  test/cell/faults:src/cell/fault_private.h:RST_CELL_FAULT_
do
  IFS=: read -r seeds header prefix <<<"$list"
  kinds=$(grep -E "^  $prefix[A-Z_]+,\$" "$header" | grep -vc "_COUNT,\$")
  [ "$(wc -l <"$seeds")" -eq $((kinds - 1)) ] \
    || echo "$seeds: $(wc -l <"$seeds") lines for $((kinds - 1)) faults"
done
echo "deliberate faults: each has a line"

# KNOWN-RED.txt excuses tests and cases by their exact names.
sed -n 's/^test: unit: //p' KNOWN-RED.txt | while read -r name
do
  build/unit-tests --gtest_list_tests --gtest_filter="$name" \
    | grep -q "^  ${name#*.}\$" || echo "$name: no such unit test"
done
sed -n 's/^case: review\///p' KNOWN-RED.txt | while read -r name
do
  tools/review --list | grep -qxF "$name" || echo "review/$name: no such case"
done
sed -n 's/^test: //p' KNOWN-RED.txt | grep -v '^unit: ' | while read -r name
do
  grep -qE "^ *run_(background_)?test \"${name%%: seed*}(\"|: )" tools/check \
    || echo "$name: tools/check has no such test"
done
echo "known red: each entry names a test or a case"
