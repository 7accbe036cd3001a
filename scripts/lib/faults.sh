# The faults that scripts/demo --faults provokes with the real processes, one
# after another, while the load runs. Sourced after deployment.sh.
# shellcheck shell=bash

facts=()    # lines for the report
failures=() # promises that a measurement here found broken

phase() { echo "$1" >>"$work/phases"; }
fact() { facts+=("$1"); echo "  $1"; }
broken() { failures+=("$1"); echo "  BROKEN: $1"; }

# Requests that the upstream has started so far.
started() { get "$(agent_ip "$1"):8080/runs" | jq '.gets + .posts'; }
started_by() { # INDEX...
  local sum=0 i
  for i in "$@"; do sum=$((sum + $(started "$i"))); done
  echo "$sum"
}

# Watches the upstreams for LIMIT_S; prints the milliseconds from now until the
# last request that reached any of them.
last_work_ms() { # LIMIT_S INDEX...
  local limit=$1 begin now before after last=0
  shift
  begin=$(date +%s%3N)
  before=$(started_by "$@")
  while now=$(date +%s%3N) && [ $((now - begin)) -lt $((limit * 1000)) ]; do
    sleep 0.1
    after=$(started_by "$@")
    if [ "$after" != "$before" ]; then
      last=$(($(date +%s%3N) - begin))
      before=$after
    fi
  done
  echo "$last"
}

fault_balancer_kill() {
  phase "balancer kill -9"
  signal KILL balancer-0
  await_end balancer-0 5 >/dev/null
  sleep 5
  start_balancer 0
  await_ready 20 "$(balancer_ip 0):7002" || broken "balancer does not come back"
  sleep 1
}

fault_balancer_stop() {
  phase "balancer SIGTERM"
  signal TERM balancer-1
  local took
  took=$(await_end balancer-1 20) || broken "balancer ignores SIGTERM"
  fact "balancer SIGTERM: ended after $took ms"
  sleep 2
  start_balancer 1
  await_ready 20 "$(balancer_ip 1):7002" || broken "balancer does not come back"
  sleep 1
}

fault_agent_stop() {
  phase "agent SIGTERM"
  signal TERM agent-0
  local last took
  last=$(last_work_ms 5 0)
  fact "agent SIGTERM: last new work after $last ms"
  [ "$last" -le 2500 ] || broken "a leaving agent got new work after $last ms"
  took=$(await_end agent-0 30) || broken "agent does not end after SIGTERM"
  phase "agent joins"
  start_agent 0
  await_ready 20 "$(agent_ip 0):7002" || broken "agent does not come back"
  sleep 4
}

fault_drain() {
  phase "agent drained by settings"
  "$bin/dragonflystall" drain "$team/${services[0]}" "$(agent_name 3)" \
    --platform "$platform" >>"$work/drain.out" 2>&1 || broken "drain was refused"
  local last
  last=$(last_work_ms 5 3)
  fact "drain: last new work after $last ms"
  [ "$last" -le 2500 ] || broken "a drained agent got new work after $last ms"
  phase "drain undone"
  "$bin/dragonflystall" drain "$team/${services[0]}" "$(agent_name 3)" --undo \
    --platform "$platform" >>"$work/drain.out" 2>&1 || broken "undo was refused"
  await_ready 10 "$(agent_ip 3):7002" || broken "a drained agent does not come back"
  sleep 3
}

fault_agent_kill() {
  phase "agent kill -9"
  lost_with "agent kill -9" 1
  signal KILL agent-1
  await_end agent-1 5 >/dev/null
  sleep 7
  phase "after agent kill"
  start_agent 1
  await_ready 20 "$(agent_ip 1):7002" || broken "killed agent does not come back"
  sleep 3
}

fault_agent_pause() {
  phase "agent paused 6 s"
  lost_with "agent paused 6 s" 2
  signal STOP agent-2
  sleep 6
  signal CONT agent-2
  sleep 2
  phase "after agent pause"
  await_ready 20 "$(agent_ip 2):7002" || broken "paused agent does not rejoin"
  sleep 3
}

fault_zone() {
  phase "zone out"
  lost_with "zone out" 2 5 8
  "$bin/dragonflystall" zone out "${zones[2]}" --platform "$platform" \
    >>"$work/zone.out" 2>&1 || broken "zone out was refused"
  local last
  last=$(last_work_ms 6 2 5 8)
  fact "zone out: last request into ${zones[2]} after $last ms"
  [ "$last" -le 3000 ] || broken "zone out: still work after $last ms"
  phase "zone stays out"
  sleep 5
  phase "zone back"
  "$bin/dragonflystall" zone in "${zones[2]}" --platform "$platform" \
    >>"$work/zone.out" 2>&1 || broken "zone in was refused"
  sleep 8
}

fault_platform_down() {
  phase "platform down"
  post "$platform/faults" '{"down_ms": 12000}' >/dev/null
  sleep 2
  phase "platform down, balancer joins"
  signal KILL balancer-2
  await_end balancer-2 5 >/dev/null
  start_balancer 2
  await_ready 8 "$(balancer_ip 2):7002" ||
    broken "balancer gets no settings from its peers while the platform is down"
  sleep 4
  phase "platform back"
  sleep 6
}

fault_lost_answers() {
  phase "platform loses answers"
  post "$platform/faults" '{"lose_answers": 2}' >/dev/null
  signal TERM agent-3
  await_end agent-3 30 >/dev/null || broken "agent does not end when answers are lost"
  post "$platform/faults" '{"lose_answers": 2}' >/dev/null
  start_agent 3
  await_ready 20 "$(agent_ip 3):7002" || broken "agent does not join when answers are lost"
  sleep 3
}

fault_upstream_cold() {
  phase "upstream cold again"
  local before after
  before=$(get "$(agent_ip 4):8080/runs" | jq .cold_overloads)
  post "$(agent_ip 4):8080/faults" '{"cold": true}' >/dev/null
  sleep 8
  after=$(get "$(agent_ip 4):8080/runs" | jq .cold_overloads)
  fact "upstream cold again: $((after - before)) requests over its bearing"
}

fault_silent() {
  phase "silent connections"
  post "$(agent_ip 5):8080/faults" '{"silent": true}' >/dev/null
  post "$platform/faults" '{"silent": true}' >/dev/null
  sleep 9
  phase "after silence"
  sleep 3
}

run_faults() {
  local fault
  for fault in ${only_faults:-balancer_kill balancer_stop agent_stop drain agent_kill \
    agent_pause zone platform_down lost_answers upstream_cold silent}; do
    phase "steady"
    sleep 2
    echo "$fault"
    "fault_$fault"
  done
}

# Phases of planned changes: a flow may break in them only because it was lost
# with an agent or a zone before, and had no good answer since.
planned='["warm-up", "steady", "balancer kill -9", "balancer SIGTERM", "agent SIGTERM",
  "agent joins", "agent drained by settings", "drain undone", "after agent kill", "after agent pause", "zone stays out", "zone back",
  "platform down", "platform down, balancer joins", "platform back",
  "platform loses answers"]'

# The flows of these agents are lost with the phase that has just begun.
lost_with() { # PHASE INDEX...
  local phase=$1 i
  shift
  for i in "$@"; do
    jq -nc --arg phase "$phase" --arg upstream "$(agent_name "$i")" \
      '{phase: $phase, upstream: $upstream}' >>"$work/lost"
  done
}

# Seconds until a zone that was taken out may still answer.
zone_bound=3

# Prints "PHASE: COUNT" of breaks that no loss accounts for.
unexplained_breaks() { # REPORT
  touch "$work/lost"
  jq -r --slurpfile lost "$work/lost" --argjson planned "$planned" \
    --argjson bound "$zone_bound" '
    (reduce .phases[] as $p ({}; .[$p.name] //= $p.start_s)) as $start
    | [.breaks[]
       | select(.phase as $n | $planned | index($n))
       | . as $b
       | select(any($lost[];
           .upstream == $b.last_upstream and $start[.phase] <= $b.at_s
           and $b.last_served_s <= $start[.phase] + $bound) | not)]
    | group_by(.phase)[] | "\(.[0].phase): \(length)"' "$1"
}

# Prints "PHASE: FIGURE" for each phase that the jq condition finds.
find_phases() { # REPORT CONDITION FIGURE
  jq -r ".phases[] | select(.calls > 0 and ($2)) | \"\(.name): \($3)\"" "$1"
}

judge_phases() { # REPORT
  local line
  while read -r line; do
    broken "planned change broke flows: $line"
  done < <(unexplained_breaks "$1")
  while read -r line; do
    broken "service level without a fault: $line"
  done < <(find_phases "$1" '.name == "steady" and .service_level < 0.99' \
    .service_level)
  while read -r line; do
    broken "service level while an upstream is cold: $line"
  done < <(find_phases "$1" \
    '.name == "upstream cold again" and .service_level < 0.95' .service_level)
  while read -r line; do
    broken "service level while a zone is out: $line"
  done < <(find_phases "$1" \
    '(.name | startswith("zone")) and .service_level < 0.95' .service_level)
}
