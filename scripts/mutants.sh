#!/usr/bin/env bash
# Switches off each mechanism that carries a promise and shows that the proofs
# notice: without a mutation they must pass, with it they must fail.
set -uo pipefail
cd "$(dirname "$0")/.."

# mutation | promise | packages whose proofs must notice
mutations='
memory_sweep    | no engine memory held | ./reclaim ./entry
delivery_record | answered once         | ./draft
frame_check     | own whole answer      | ./firing ./entry
send_permit     | not run is true       | ./receipt ./order
claim_read_back | at most once          | ./order ./entry
leaving_wins    | no work to leaving    | ./crew
drain_wait      | graceful shutdown     | ./entry
offset_order    | never reverts         | ./plan
'

prove() { # mutation packages...
  local mutation=$1
  shift
  BALSAMLOCK_MUTANT=$mutation go test -tags mutants -count=1 -failfast -timeout 20m -run '^TestProof' "$@" 2>&1
}

if ! go vet -tags mutants ./... || ! out=$(prove "" ./...); then
  echo "mutants: the proofs fail without a mutation"
  grep -E '^(---|FAIL|panic)' <<<"${out:-}" | head -20
  exit 1
fi

caught=0
all=0
while IFS='|' read -r mutation promise packages; do
  [ -n "${mutation// /}" ] || continue
  all=$((all + 1))
  mutation=${mutation// /}
  # shellcheck disable=SC2086
  out=$(prove "$mutation" $packages)
  noticed=$(grep -oE '^ *--- FAIL: TestProof[A-Za-z]*' <<<"$out" | awk '{print $3}' | sort -u | paste -sd ' ')
  if [ -n "$noticed" ]; then
    caught=$((caught + 1))
    printf '%-16s %-22s noticed by %s\n' "$mutation" "$promise" "$noticed"
  else
    printf '%-16s %-22s NOT NOTICED\n' "$mutation" "$promise"
  fi
done <<<"$mutations"
echo "mutants: $caught of $all caught"
[ "$caught" = "$all" ]
