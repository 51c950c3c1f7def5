#!/bin/bash
# A spec with the character \u0000; REPORT-2.md tells what it shows.
#   TROUBLE=0  the text has no character 0
cd "$(dirname "$0")/../../.." || exit 2
case_dir=review/more-2/spec
. review/lib-2.sh

start_platform 1 || give_up "the platform did not start"
put_operator_key op/config '{"version":3,
 "routes":[
  {"name":"r","host":"h.example","prefix":"/r/","service":"runners",
   "priority":0,"attempts":3,"slack_factor":1.5,"target_latency_ms":250}],
 "services":[{"name":"runners"}],
 "tenants":[{"name":"u","api_keys":["key-1"],"weight":100}]}'
for name in e1 e2 e3
do
  start_celld2 $name && start_jobd2 $name || give_up "a daemon did not start"
done
for id in r1 r2
do
  start_runner $id || give_up "a runner did not start"
done
if [ "$trouble" = 0 ]
then
  spec='"run:100 input=a, output=b"'
else
  spec='"run:100 input=a\u0000output=b"'
fi
wait_until 20 submit e1 /r/00000000000000d1 "{\"spec\":$spec,
  \"phases\":[{\"count\":1,\"cpu\":1300,\"mem_mb\":100}]}" \
  || give_up "the job is not accepted"
wait_until 10 shows e2 /r/00000000000000d1 completed \
  || give_up "the job does not complete"
told=$(sed -n 's/.* told 00000000000000d1\.0\.0\.0 [0-9]* //p' "$events" | tail -1)
say "the client sent the spec $spec; the runner was told $told"
[ "$told" = "$spec" ] && finish_with 0 "the runner was told the client's spec"
finish_with 1 "UNASKED: the runner was told another spec"
