#!/usr/bin/env bash
# Lesson 2: a new version of a model, from the plan to its first answer, and back. Run scripts/demo
# once before, which builds the programs. Everything here is a process on loopback and is ended when
# the lesson is over.
set -euo pipefail
cd "$(dirname "$0")/../build/release"

# Two engine stand-ins that come with version v1, take two seconds to load another, and refuse an
# order with an old fencing number; one router.
pids=()
trap 'kill "${pids[@]}" 2>/dev/null; wait 2>/dev/null' EXIT
./fake_platform --listen 127.0.0.1:9200 & pids+=($!)
./fake_engine --listen 127.0.0.1:9001 --load-ms 2000 & pids+=($!)
./fake_engine --listen 127.0.0.1:9002 --load-ms 2000 & pids+=($!)
export WORKSSHIFT_FLEET_KEY=lesson-two-fleet-key WORKSSHIFT_ADMIN_TOKENS=me:operator:lesson-token
./worksshiftd --vm=vm-1 --data-centre=dc --link=127.0.0.1:7100 --front=127.0.0.1:8081 \
    --admin=127.0.0.1:7101 --platform=127.0.0.1:9200 --log-level=warn & pids+=($!)
sleep 1

key=$(printf secret | sha256sum | cut -d' ' -f1)
cat >lesson.json <<JSON
{"services": [{"id": "assist", "fenced": true, "versions": ["v1"], "serving": "v1", "servers": [
   {"id": "engine-1", "data_centre": "dc", "address": "127.0.0.1", "port": 9001, "limit": 8},
   {"id": "engine-2", "data_centre": "dc", "address": "127.0.0.1", "port": 9002, "limit": 8}]}],
 "accounts": [{"id": "clerks", "key_sha256": "$key"}]}
JSON
export WORKSSHIFT_ADMIN=127.0.0.1:7101 WORKSSHIFT_TOKEN=lesson-token
./worksshift bootstrap lesson.json

# Every change is a plan first. Its JSON says what would change; nothing does until it is confirmed.
change() {
    local shown plan
    shown=$(./worksshift plan "$@")
    echo "$shown"
    plan=$(sed -n 's/.*"id": "\(p-[a-z0-9]*\)".*/\1/p' <<<"$shown")
    ./worksshift confirm "$plan" >/dev/null
    ./worksshift watch "$plan"
    last_plan=$plan
}
ask() {
    curl -s http://127.0.0.1:8081/v1/chat/completions -H 'Authorization: Bearer secret' -o /dev/null \
        -d '{"model":"assist","stream":true,"max_tokens":3,"messages":[{"role":"user","content":"part 7"}]}'
}
versions() { curl -s "http://127.0.0.1:$1/load"; echo; }

echo "--- the engines are to load v2; callers still get v1"
change add-version assist v2
for _ in $(seq 40); do
    if versions 9001 | grep -q '"versions":\["v1","v2"\]' && versions 9002 | grep -q '"versions":\["v1","v2"\]'; then
        break
    fi
    sleep 0.5
done
versions 9001
versions 9002

sleep 2 # the gate asks its engines once a second what they have

echo "--- callers get v2 now"
change serve-version assist v2
ask
curl -s http://127.0.0.1:9001/stats http://127.0.0.1:9002/stats | grep -o '"runs_by_version":{[^}]*}'

echo "--- who did what, and back again: the rollback is a plan, too"
./worksshift history
rollback=$(./worksshift rollback "$last_plan" | sed -n 's/.*"id": "\(p-[a-z0-9]*\)".*/\1/p')
./worksshift confirm "$rollback"
