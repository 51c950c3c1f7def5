# The days of tools/sequences: the same for the same arguments, as TOML that the
# bench reads, and with the time between two disruptions that the fault needs.
cd "$(dirname "$0")/../.." || exit 1

decimal='[0-9]+\.[0-9]{3}'
value="($decimal|[0-9]+|\"[a-z_0-9@ ]*\")"
fault="^  \{ at = $decimal, for_s = $decimal, kind = \"[a-z_]+\"(, [a-z_]+ = $value)+ \},\$"
header="^# tools/sequences --kind [a-z]+ --seed [0-9]+\$"
table="^(\[\[day\]\]|name = \"sequences-[a-z]+-[0-9]+\"|length_s = $decimal|plan = \[\]|faults = \[|\])\$"

# lasts_as_long_as_a_fault_needs - whether each instances' cut of a day of kind
# zone ends 0.1 to 1 s after its zone was cut off, for longer than a lease.
lasts_as_long_as_a_fault_needs ()
{
  awk '
    { gsub(/[",]/, "") }
    /kind = node_cut/ { back = $4 + $7; zone = $(NF - 1); cuts++ }
    /kind = zone_cut/ {
      early = back - $4
      if (zone != $(NF - 1) || early < 0.0999 || early > 1.0001 || $7 < 6.5)
        bad = 1
      cuts--
    }
    /length_s/ { length_s = $3 }
    /at = / && $4 + $7 > length_s { bad = 1 }
    END { exit bad || cuts != 0 }'
}

for kind in zone agents planner handovers freeze late clocks mixed both \
  narrow long crashing
do
  seen=""
  for seed in 1 2 3 4 5
  do
    day=$(tools/sequences --kind $kind --seed $seed)
    [ "$day" = "$(LC_ALL=C tools/sequences --seed $seed --kind $kind)" ] \
      || echo "$kind $seed: differs from one run to the next"
    # Each line outside the expected forms is printed.
    grep -Ev "$header|$table|$fault" <<<"$day"
    [ "$(grep -Ec "$fault" <<<"$day")" -ge 4 ] \
      || echo "$kind $seed: fewer than four disruptions"
    [[ $seen != *"$day"* ]] || echo "$kind $seed: the day of another seed"
    seen+=$day
    if [ $kind = zone ] && ! lasts_as_long_as_a_fault_needs <<<"$day"
    then
      echo "$kind $seed: misses the times that the fault needs"
    fi
  done
  echo "$kind: five days"
done
for arguments in "--kind zone" "--seed 1" "--kind none --seed 1" \
  "--kind zone --seed x" "--kind zone --seed 1 --more"
do
  # shellcheck disable=SC2086
  tools/sequences $arguments >/dev/null 2>&1
  echo "$arguments: status $?"
done
