#!/usr/bin/env bash
# Runs the benchmarks that produce the slopes in docs/MEASUREMENTS-capacity.md. They take about
# fifteen minutes on an idle machine with 12 cores, use less than 4 GiB of memory
# and run in one process at a time.
set -euo pipefail
cd "$(dirname "$0")"

bench() {
  local module=$1 package=$2 pattern=$3 count=$4
  echo "== $package $pattern"
  (cd "$module" && go test -timeout 20m -run xxx -bench "$pattern" -benchtime "$count" "$package" | grep Benchmark)
}

bench . ./capacity 'IdleDaemon' 1x
bench . ./capacity 'MembershipTable|Directory|OnceTable|TimelineMemory' 200x
bench . ./sessions 'AddedLatency' 5000x
bench . ./sessions 'Throughput' 50000x
bench . ./placement 'Choose' 1s
bench . ./endpoint 'Submit' 1s
bench . ./timeline 'Record$' 1s
bench . ./fleet 'TargetSize' 20x
bench . ./control 'ConfigurationPropagation' 100x
bench . ./control 'Idle' 1x
bench . ./control 'Claim' 3s
bench coord ./quorum 'LocalSync|Propose|ReadIndex' 3s
bench coord ./quorum 'Failover' 40x
bench coord ./quorum 'Idle' 10x
