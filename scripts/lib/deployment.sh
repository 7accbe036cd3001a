# A whole deployment on loopback, for scripts/demo: names and addresses, host
# settings, start and stop of every process. Sourced, not run.
# shellcheck shell=bash

declare -A pids=()  # process name -> pid, only of processes started here
# The first half of every address: another one for a second demo at the time.
net=${DRAGONFLYSTALL_NET:-127.1}
platform=$net.0.1:9000
cold_seconds=4

choose_deployment() {
  case "$1" in
    skane)
      team=hangarlabbet zones=(lund-a malmo-b helsingborg-c)
      services=(tags receipts) slots=4 ;;
    bretagne)
      team=legoff zones=(quimper vannes lorient)
      services=(jobcards manuals) slots=9 ;;
    *) echo "unknown deployment '$1': skane or bretagne" >&2; exit 2 ;;
  esac
  deployment=$1 connections=2000
  # Each upstream bears 100 requests a second, whatever its slots.
  service_ms=$((slots * 10))
  service_ips=($net.100.1 $net.100.2)
}

# Ten agents over three zones; the first seven serve the first service.
agent_zone() { echo $(($1 % 3)); }
agent_ip() { echo "$net.$(($1 % 3 + 1)).$((11 + $1 / 3))"; }
agent_service() { echo $(($1 < 7 ? 0 : 1)); }
agent_name() {
  echo "${zones[$(agent_zone "$1")]}/${services[$(agent_service "$1")]}-$1"
}
balancer_ip() { echo "$net.$(($1 + 1)).1"; }
balancer_name() { echo "${zones[$1]}/balancer-$1"; }

host_json() { # NAME ZONE IP EXTRA
  cat <<JSON
{"name": "$1", "zone": "$2",
 "data": "$3:7000", "control": "$3:7001", "admin": "$3:7002",
 "platform": ["$platform"],
 "peers": ["$net.1.1:7001", "$net.2.1:7001", "$net.3.1:7001"],
 $4}
JSON
}

write_host_settings() {
  local i ip
  for i in 0 1 2; do
    ip=$(balancer_ip "$i")
    host_json "$(balancer_name "$i")" "${zones[$i]}" "$ip" \
      "\"entry\": \"$ip:7003\", \"entry_mode\": \"proxy\"" \
      >"$work/balancer-$i.json"
  done
  for i in 0 1 2 3 4 5 6 7 8 9; do
    ip=$(agent_ip "$i")
    host_json "$(agent_name "$i")" "${zones[$(agent_zone "$i")]}" "$ip" \
      "\"team\": \"$team\", \"service\": \"${services[$(agent_service "$i")]}\",
 \"upstream\": \"$ip:8080\", \"slots\": $slots, \"connections\": $connections" \
      >"$work/agent-$i.json"
  done
}

start() { # NAME COMMAND...
  local name=$1
  shift
  "$@" >>"$work/$name.out" 2>>"$work/$name.log" &
  pids[$name]=$!
}

alive() { [ -n "${pids[$1]:-}" ] && kill -0 "${pids[$1]}" 2>/dev/null; }

signal() { # SIGNAL NAME
  kill -s "$1" "${pids[$2]}"
}

# Waits until the process has ended; prints how many milliseconds it took.
await_end() { # NAME LIMIT_S
  local start_ms=$(date +%s%3N)
  while alive "$1" && [ $(($(date +%s%3N) - start_ms)) -lt $(($2 * 1000)) ]; do
    sleep 0.05
  done
  if alive "$1"; then echo "still-running"; return 1; fi
  wait "${pids[$1]}" 2>/dev/null || true
  unset "pids[$1]"
  echo $(($(date +%s%3N) - start_ms))
}

stop_all() {
  local name pid
  for name in "${!pids[@]}"; do
    pid=${pids[$name]}
    kill -CONT "$pid" 2>/dev/null || true
    kill -KILL "$pid" 2>/dev/null || true
  done
  for name in "${!pids[@]}"; do
    wait "${pids[$name]}" 2>/dev/null || true
  done
  pids=()
}

start_platform() { start platform "$bin/standin-platform" --listen "$platform"; }

start_upstream() { # INDEX [EXTRA...]
  local i=$1
  shift
  start "upstream-$i" "$bin/standin-upstream" --listen "$(agent_ip "$i"):8080" \
    --slots "$slots" --service "${services[$(agent_service "$i")]}" \
    --name "$(agent_name "$i")" --seed "$i" --service-ms "$service_ms" \
    --cold-seconds "$cold_seconds" "$@"
}

start_agent() { start "agent-$1" "$bin/dragonflystall-agent" --settings "$work/agent-$1.json"; }

start_balancer() {
  start "balancer-$1" "$bin/dragonflystall-balancer" --settings "$work/balancer-$1.json"
}

start_fabric() {
  start fabric "$bin/standin-fabric" --seed 1 --local $net.0.2:7000 \
    --service "${service_ips[0]}:5683" --service "${service_ips[1]}:5683" \
    --entry $net.1.1:7003 --entry $net.2.1:7003 --entry $net.3.1:7003 \
    --check $net.1.1:7002 --check $net.2.1:7002 --check $net.3.1:7002
}

start_all() {
  local i
  start_platform
  for i in 0 1 2 3 4 5 6 7 8 9; do start_upstream "$i"; done
  for i in 0 1 2; do start_balancer "$i"; done
  for i in 0 1 2 3 4 5 6 7 8 9; do start_agent "$i"; done
  start_fabric
}

# Zones go first: a service may only name zones that exist.
apply_settings() {
  apply_file operations settings-zones.json &&
    apply_file "$team" "settings-$team.json"
}

apply_file() { # TEAM FILE
  sed "s/127\.1\./$net./g" "contrib/deployments/$deployment/$2" >"$work/$2"
  "$bin/dragonflystall" apply "$1" "$work/$2" \
    --platform "$platform" >>"$work/apply.out"
}

get() { curl -s -m 2 "http://$1"; }          # URL-without-scheme
post() { curl -s -m 2 -d "$2" "http://$1"; } # URL-without-scheme BODY

ready() { # ADMIN
  curl -sf -m 1 -o /dev/null "http://$1/readyz"
}

admins() {
  local i
  for i in 0 1 2; do echo "$(balancer_ip "$i"):7002"; done
  for i in 0 1 2 3 4 5 6 7 8 9; do echo "$(agent_ip "$i"):7002"; done
}

upstreams() {
  local i
  for i in 0 1 2 3 4 5 6 7 8 9; do echo "$(agent_ip "$i"):8080"; done
}

# Fails when a process that was started has ended, such as for an address that
# somebody else uses.
check_alive() {
  local name
  for name in "${!pids[@]}"; do
    alive "$name" && continue
    echo "$name has ended: $(tail -n 1 "$work/$name.log")" >&2
    return 1
  done
}

await_ready() { # LIMIT_S ADMIN...
  local limit=$(($(date +%s) + $1)) admin
  shift
  for admin in "$@"; do
    until ready "$admin"; do
      if [ "$(date +%s)" -ge "$limit" ]; then
        echo "not ready: $admin" >&2
        return 1
      fi
      sleep 0.1
    done
  done
}

# Flows that each agent of the service holds: max over mean, and the figures.
held_flows() { # SERVICE_INDEX
  local i
  for i in 0 1 2 3 4 5 6 7 8 9; do
    [ "$(agent_service "$i")" = "$1" ] || continue
    get "$(agent_ip "$i"):7002/status" | jq .flows
  done | jq -rs '"max/mean \((max * length / add * 1000 | round) / 1000) of \(add) flows: \(.)"'
}
