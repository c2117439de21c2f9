#!/usr/bin/env bash
# Runs the system in separate processes on loopback addresses: stand-ins for the
# platform, the engines and the services, and two entry instances in two data
# centres. Sends requests of each kind, kills one instance and shuts the other one
# down. Prints "demo: ok" on success. All processes are stopped on exit.
set -euo pipefail
cd "$(dirname "$0")/.."

bin=.bin
dir=$(mktemp -d)
# A random loopback network, so that concurrent runs on one machine don't conflict.
net=127.$((RANDOM % 200 + 20)).$((RANDOM % 250 + 1))
platform=$net.1:7000
key_a=demo-key-atelier-vecht
key_b=demo-key-atelier-dommel
export BALSAMLOCK_OPERATOR_KEY=demo-operator-key-0123
declare -A pids

finish() {
  local code=$?
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  if [ $code -ne 0 ]; then
    echo "demo: failed; logs:"
    tail -n 15 "$dir"/*.log
  fi
  rm -rf "$dir"
  exit $code
}
trap finish EXIT

start() { # name program settings_file
  "$bin/$2" --settings "$3" >"$dir/$1.log" 2>&1 &
  pids[$1]=$!
}

await() { # description timeout_seconds command...
  local what=$1 end=$((SECONDS + $2))
  shift 2
  until "$@" >"$dir/await.out" 2>&1; do
    if [ $SECONDS -ge $end ]; then
      echo "demo: gave up waiting for $what"
      cat "$dir/await.out"
      return 1
    fi
    sleep 0.1
  done
}

timed() { # label curl_arguments...
  local label=$1
  shift
  local seconds
  seconds=$(curl -sS --fail-with-body --max-time 60 -o "$dir/answer" -w '%{time_total}' "$@") || {
    echo "demo: $label failed: $(cat "$dir/answer")"
    return 1
  }
  printf '%-34s %6.0f ms  %s\n' "$label" "$(awk "BEGIN{print $seconds*1000}")" "$(head -c 150 "$dir/answer" | tr '\n' ' ')"
}

standin() { # name address_suffix data_centre kind [options [platform]]
  cat >"$dir/$1.json" <<J
{"servers": [{"kind": "$4", "name": "$1", "listen": "$net.$2", "data_centre": "$3", "platform": "${6-$platform}"${5:+, $5}}]}
J
  start "$1" balsamlock-standin "$dir/$1.json"
}

entry() { # name address_suffix data_centre
  cat >"$dir/$1.json" <<J
{"listen": "$net.$2:8080", "peer_listen": "$net.$2:8081", "operator_listen": "$net.$2:8082",
 "data_centre": "$3", "region": "randstad", "platform": "$platform",
 "peer_key": "demo-peer-key-0123456789", "operator_key": "$BALSAMLOCK_OPERATOR_KEY",
 "crew": {"peers": ["$net.101:8081", "$net.102:8081"]}}
J
  start "$1" balsamlock-entry "$dir/$1.json"
}

uuid7() { # prints a UUID of version 7, the format of idempotency keys
  local ms
  ms=$(printf '%012x' "$(date +%s%3N)")
  printf '%s-%s-7%03x-8%03x-%04x%04x%04x\n' "${ms:0:8}" "${ms:8:4}" $((RANDOM % 4096)) $((RANDOM % 4096)) $RANDOM $RANDOM $RANDOM
}

echo "demo: network $net.0/24, logs in $dir"
standin platform 1:7000 randstad-a platform "" ""
model='"models": ["drafting-models@1"]'
await "the platform" 20 curl -sS --max-time 2 "http://$platform/"
standin prefill-a 11:9000 randstad-a engine "\"engine_options\": {\"role\": \"prefill\", $model}"
standin decode-a 12:9000 randstad-a engine "\"engine_options\": {\"role\": \"decode\", $model}"
standin prefill-b 21:9000 randstad-b engine "\"engine_options\": {\"role\": \"prefill\", $model}"
standin decode-b 22:9000 randstad-b engine "\"engine_options\": {\"role\": \"decode\", $model}"
standin desk-a 31:9000 randstad-a service
standin desk-b 32:9000 randstad-b service
entry entry-1 101 randstad-a
entry entry-2 102 randstad-b
one=http://$net.101:8080
two=http://$net.102:8080

sed "s/NET\\./$net./" demo/routing.json >"$dir/routing.json"
"$bin/balsamlock-ctl" check "$dir/routing.json"
"$bin/balsamlock-ctl" publish --platform "$platform" "$dir/routing.json"

as_a=(-H "Authorization: Bearer $key_a" -H "Content-Type: application/json")
as_b=(-H "Authorization: Bearer $key_b" -H "Content-Type: application/json")
prompt='{"model": "drafting-models", "prompt": "Survey of the north window", "max_tokens": 24'
for url in "$one" "$two"; do
  await "a completion over $url" 30 curl -sS --fail-with-body --max-time 10 "${as_a[@]}" "$url/v1/completions" -d "$prompt}"
done

timed "streamed completion, entry-1" -N "${as_a[@]}" "$one/v1/completions" -d "$prompt, \"stream\": true}"
grep -q '\[DONE\]' "$dir/answer"
timed "chat completion, entry-2" "${as_b[@]}" "$two/v1/chat/completions" \
  -d '{"model": "drafting-models", "max_tokens": 8, "messages": [{"role": "user", "content": "Quote the rose window"}]}'
timed "lookup, entry-1" "${as_a[@]}" "$one/services/workshop-desk/panels/7"

order_key=$(uuid7)
await "readiness for orders" 60 curl -sS --fail-with-body "${as_a[@]}" -H "Idempotency-Key: $order_key" "$one/services/workshop-desk/orders" -d '{"cames": 40}'
timed "order, entry-1" "${as_a[@]}" -H "Idempotency-Key: $order_key" "$one/services/workshop-desk/orders" -d '{"cames": 40}'
cp "$dir/answer" "$dir/first"
timed "the same order, entry-2" "${as_a[@]}" -H "Idempotency-Key: $order_key" "$two/services/workshop-desk/orders" -d '{"cames": 40}'
cmp "$dir/first" "$dir/answer"
runs=$(cat <(curl -sS "http://$net.31:9000/runs") <(curl -sS "http://$net.32:9000/runs") | grep -o "\"[^\"]*$order_key[^\"]*\": *[0-9]*" | grep -o '[0-9]*$' | awk '{n += $1} END {print n + 0}')
echo "runs of the order at the services: ${runs}"
[ "$runs" = 1 ]

timed "draft accepted, entry-1" "${as_b[@]}" "$one/v1/drafts" -d '{"model": "drafting-models", "prompt": "Long quotation", "max_tokens": 200}'
draft=$(grep -o '"id":"[^"]*"' "$dir/answer" | cut -d'"' -f4)
ready() { curl -sS "${as_b[@]}" "$two/v1/drafts/$draft" | grep -q '"ready"'; }
await "the draft" 60 ready
timed "draft collected, entry-2" "${as_b[@]}" -X POST -H "Collect-Key: desk-1" "$two/v1/drafts/$draft/collect"
if curl -sS --fail -o "$dir/again" "${as_b[@]}" -X POST -H "Collect-Key: desk-2" "$one/v1/drafts/$draft/collect" 2>/dev/null; then
  echo "demo: the draft was collected twice"
  exit 1
fi
echo "second collection refused"

echo "{\"vecht\": \"$key_a\", \"dommel\": \"$key_b\"}" >"$dir/keys.json"
for trace in glasnet-19-march glasnet-2-april; do
  "$bin/balsamlock-replay" outcomes "replay/outcome/testdata/$trace.jsonl" --keys "$dir/keys.json" \
    --entry "$net.101:8080" --entry "$net.102:8080" --standin "desk-a=$net.31:9000" --standin "desk-b=$net.32:9000" >"$dir/outcomes" || {
    cat "$dir/outcomes"
    exit 1
  }
  echo "$trace: $(($(wc -l <"$dir/outcomes") - 1)) stated outcomes met"
done

echo "kill -9 of entry-1 during traffic"
curl -sS -N --max-time 30 -o "$dir/stream" "${as_a[@]}" "$two/v1/completions" \
  -d '{"model": "drafting-models", "prompt": "Survey", "max_tokens": 150, "stream": true}' &
stream=$!
kill -9 "${pids[entry-1]}"
wait "${pids[entry-1]}" 2>/dev/null || true
unset 'pids[entry-1]'
timed "completion, entry-2 alone" "${as_a[@]}" "$two/v1/completions" -d "$prompt}"
wait $stream
grep -q '\[DONE\]' "$dir/stream"
timed "lookup, entry-2 alone" "${as_a[@]}" "$two/services/workshop-desk/panels/7"

echo "graceful shutdown of entry-2"
kill -TERM "${pids[entry-2]}"
wait "${pids[entry-2]}"
unset 'pids[entry-2]'
grep -q '"requests_cut":0' "$dir/entry-2.log"
echo "demo: ok"
