#!/usr/bin/env bash
# Plays days of a deployment on two source trees with equal seeds and prints the worth
# of each pair, the mean difference and its standard error.
#
#   compare.sh BENCH SITE BEFORE AFTER "DAYS" "SEEDS" [JOBS]
#
# BENCH is the users' bench, SITE a site file, BEFORE and AFTER are checkouts. Reports
# are kept in a new folder, whose name is printed.
set -euo pipefail
if [ $# -lt 6 ]; then
  sed -n '2,8s/^# \{0,1\}//p' "$0" >&2
  exit 2
fi
bench=$(realpath "$1") site=$(realpath "$2") before=$(realpath "$3") after=$(realpath "$4")
days=$5 seeds=$6 jobs=${7:-2}
out=$(mktemp -d)
echo "reports in $out"

play() { # TREE SIDE DAY SEED
  cd "$1"
  "$bench" run "$site" "$3" --seed "$4" --no-cpu --jobs 1 --why "pairs: $3 seed $4" >"$out/$2-$3-$4.txt" 2>&1 ||
    echo "$2 $3 seed $4 failed, see $out/$2-$3-$4.txt" >&2
}
export -f play
export bench site out

for tree in "$before" "$after"; do
  (cd "$tree" && "$bench" build)
done
for seed in $seeds; do
  for day in $days; do
    printf '%s\n' "$before before $day $seed" "$after after $day $seed"
  done
done | xargs -P "$jobs" -L 1 bash -c 'play "$@"' _

worth() { sed -n 's/^worth \(-\{0,1\}[0-9.]*\) = .*/\1/p' "$1"; }
for seed in $seeds; do
  for day in $days; do
    echo "$day $seed $(worth "$out/before-$day-$seed.txt") $(worth "$out/after-$day-$seed.txt")"
  done
done | awk '
  NF < 4 { missing++; next }
  { d = $4 - $3; n++; sum += d; squares += d * d; better += d > 0; worse += d < 0
    printf "%-12s seed %-4s %.3f -> %.3f  %+.3f\n", $1, $2, $3, $4, d }
  END {
    if (n < 2) { print "fewer than two pairs"; exit 1 }
    mean = sum / n
    printf "mean difference %+.4f +- %.4f over %d pairs, %d better, %d worse, %d missing\n",
      mean, sqrt((squares - n * mean * mean) / (n - 1) / n), n, better, worse, missing
  }'
