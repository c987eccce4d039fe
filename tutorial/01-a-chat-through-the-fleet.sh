#!/usr/bin/env bash
# Lesson 1: a chat through a fleet of three routers, by hand. Run scripts/demo once before, which
# builds the programs. Everything here is a process on loopback and is ended when the lesson is over.
set -euo pipefail
cd "$(dirname "$0")/../build/release"

# The platform's stand-in keeps objects in memory; two engine stand-ins stream made-up tokens.
pids=()
trap 'kill "${pids[@]}" 2>/dev/null; wait 2>/dev/null' EXIT
./fake_platform --listen 127.0.0.1:9200 & pids+=($!)
./fake_engine --listen 127.0.0.1:9001 & pids+=($!)
./fake_engine --listen 127.0.0.1:9002 & pids+=($!)

# Three routers. Each learns its name, data centre and addresses from its settings; the peers are
# only needed to find each other, since this platform's list of VMs is empty.
peers=127.0.0.1:7100,127.0.0.1:7200,127.0.0.1:7300
export WORKSSHIFT_FLEET_KEY=lesson-one-fleet-key WORKSSHIFT_ADMIN_TOKENS=me:operator:lesson-token
for i in 1 2 3; do
    ./worksshiftd --vm=vm-$i --data-centre=dc --link=127.0.0.1:7${i}00 --front=127.0.0.1:808$i \
        --admin=127.0.0.1:7${i}01 --platform=127.0.0.1:9200 --peers=$peers --log-level=warn & pids+=($!)
done
sleep 1

# The first configuration: one model on two engines, one client account whose key is `secret`.
key=$(printf secret | sha256sum | cut -d' ' -f1)
cat >lesson.json <<JSON
{"services": [{"id": "assist", "servers": [
   {"id": "engine-1", "data_centre": "dc", "address": "127.0.0.1", "port": 9001, "limit": 8},
   {"id": "engine-2", "data_centre": "dc", "address": "127.0.0.1", "port": 9002, "limit": 8}]}],
 "accounts": [{"id": "clerks", "key_sha256": "$key"}]}
JSON
export WORKSSHIFT_ADMIN=127.0.0.1:7101 WORKSSHIFT_TOKEN=lesson-token
./worksshift bootstrap lesson.json
sleep 6 # gates wait for their leases and for the first load reports

echo "--- the fleet as vm-1 sees it: each engine has one gate"
./worksshift status

echo "--- a streamed answer through vm-2; it ends with [DONE]"
curl -sN http://127.0.0.1:8082/v1/chat/completions -H 'Authorization: Bearer secret' \
    -d '{"model":"assist","stream":true,"max_tokens":3,"messages":[{"role":"user","content":"check part 7"}]}'

echo "--- an unknown model is refused, and the outcome header says that nothing ran"
curl -si http://127.0.0.1:8083/v1/chat/completions -H 'Authorization: Bearer secret' \
    -d '{"model":"none","messages":[{"role":"user","content":"x"}]}' | grep -iE 'outcome|error'

echo "--- a plan changes nothing until it is confirmed"
plan=$(./worksshift plan drain engine-1 | sed -n 's/.*"id": "\(p-[a-z0-9]*\)".*/\1/p')
./worksshift confirm "$plan"
./worksshift watch "$plan"
./worksshift status | grep engine-
