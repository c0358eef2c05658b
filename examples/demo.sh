#!/usr/bin/env bash
# Starts the stand-ins and three hosts on loopback, sends one request of each kind and stops all processes.
set -euo pipefail
top=$(cd "$(dirname "$0")/.." && pwd)
bin=$top/build
work=$(mktemp -d)
standin_pids=()
host_pids=()
stop_all() {
  for pid in "${host_pids[@]:-}"; do [ -n "$pid" ] && kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${host_pids[@]:-}"; do [ -n "$pid" ] && wait "$pid" 2>/dev/null || true; done
  for pid in "${standin_pids[@]:-}"; do [ -n "$pid" ] && kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${standin_pids[@]:-}"; do [ -n "$pid" ] && wait "$pid" 2>/dev/null || true; done
  rm -rf "$work"
}
trap stop_all EXIT
read -r -a port < <(python3 - <<'P'
import socket
sockets = [socket.socket() for _ in range(14)]
for s in sockets: s.bind(("127.0.0.1", 0))
print(*[s.getsockname()[1] for s in sockets])
P
)
kv=${port[0]} rating=${port[1]} list=${port[2]} service=${port[3]}
cat > "$work/hosts.json" <<J
{"hosts":[
 {"address":"127.0.0.1:${port[4]}","domain":"north-a","state":"live","load":0,"versions":["husk-small@1"]},
 {"address":"127.0.0.1:${port[5]}","domain":"north-b","state":"live","load":0,"versions":["husk-medium@1"]},
 {"address":"127.0.0.1:${port[6]}","domain":"north-c","state":"live","load":0,"versions":["husk-large@1"]},
 {"address":"127.0.0.1:$service","domain":"north-a","state":"live","load":0,"versions":["status@1","dispatch@1"]}]}
J
"$bin/standins" kv --port "$kv" & standin_pids+=($!)
"$bin/standins" rating --port "$rating" & standin_pids+=($!)
"$bin/standins" hostlist --port "$list" --hosts "$work/hosts.json" & standin_pids+=($!)
"$bin/standins" service --port "$service" & standin_pids+=($!)
"$bin/standins" engine --port "${port[4]}" --quality 0.70 & standin_pids+=($!)
"$bin/standins" engine --port "${port[5]}" --quality 0.84 & standin_pids+=($!)
"$bin/standins" engine --port "${port[6]}" --quality 0.95 & standin_pids+=($!)
token=operator-token-of-the-demo
token_hash=$(printf %s "$token" | sha256sum | cut -d' ' -f1)
i=0
for domain in north-a north-b north-c; do
  cat > "$work/host$i.ini" <<J
[host]
name = entry-$domain
failure_domain = $domain
http_address = 127.0.0.1:${port[$((7 + i))]}
peer_address = 127.0.0.1:${port[$((10 + i))]}
seeds = 127.0.0.1:${port[10]},127.0.0.1:${port[11]},127.0.0.1:${port[12]}
[platform]
key_value_url = http://127.0.0.1:$kv
host_list_url = http://127.0.0.1:$list
rating_url = http://127.0.0.1:$rating
[sessions]
keys = 0123456789abcdef0123456789abcdef
[operators]
token_sha256 = $token_hash
[stopping]
balancer_lag_ms = 300
J
  "$bin/goldcrestd" --check "$work/host$i.ini"
  "$bin/goldcrestd" "$work/host$i.ini" 2>>"$work/log.jsonl" & host_pids+=($!)
  i=$((i + 1))
done
url=http://127.0.0.1:${port[7]}
export GOLDCREST_HOST=$url GOLDCREST_TOKEN=$token
for n in 7 8 9; do
  for _ in $(seq 100); do
    curl -fs "http://127.0.0.1:${port[$n]}/readyz" >/dev/null 2>&1 && break
    sleep 0.1
  done
done
python3 "$top/examples/table.py" > "$work/table.csv"
echo "== table apply"; "$bin/goldcrestctl" table apply "$work/table.csv"
echo "== hosts"; "$bin/goldcrestctl" hosts
parent=4bf92f3577b34da6a3ce929d0e0e4736
send_request() { # TITLE CURL_ARGUMENT...: sends a request; prints the title and the response.
  echo "== $1"; shift
  curl -sS -D "$work/headers" -o "$work/body" -H "traceparent: 00-$parent-00f067aa0ba902b7-01" "$@"
  head -1 "$work/headers" | tr -d '\r'
  grep -iE '^(goldcrest-version|goldcrest-cost-micros|traceparent|retry-after):' "$work/headers" | tr -d '\r' || true
  head -c 600 "$work/body"; echo
}
key="Authorization: Bearer key-mill-rhine"
chat='{"model":"auto","messages":[{"role":"user","content":"husker 3 jammed, please draft a report"}]'
send_request "whole model request" -H "$key" -d "$chat}" "$url/v1/chat/completions"
send_request "streamed model request" -N -H "$key" -d "$chat,\"stream\":true}" "$url/v1/chat/completions"
send_request "lookup" -H "$key" -d '{"ticket":17}' "$url/v1/services/status/get"
send_request "dispatch" -H "$key" -H "Idempotency-Key: ticket-17" -d '{"ticket":17}' "$url/v1/services/dispatch/technician"
send_request "the same dispatch at another host" -H "$key" -H "Idempotency-Key: ticket-17" -d '{"ticket":17}' "http://127.0.0.1:${port[8]}/v1/services/dispatch/technician"
send_request "refused: a model of another workspace" -H "Authorization: Bearer key-skerry-kayak" \
  -d "${chat/auto/husk-small}}" "$url/v1/chat/completions"
echo "== spans of the trace $parent"; "$bin/goldcrestctl" trace "$parent"
echo "== explain"; "$bin/goldcrestctl" explain mill-rhine
sleep 2.5
echo "== bills"; "$bin/goldcrestctl" bills
echo "== refusals"; "$bin/goldcrestctl" refusals
echo "== stop"
for pid in "${host_pids[@]}"; do kill -TERM "$pid"; done
for pid in "${host_pids[@]}"; do wait "$pid" && echo "host $pid: exit 0"; done
host_pids=()
