#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves
# the disruption out. Run the build of the deploy file and review/build-2.sh before.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review2 ] && [ -x target/jacinthplankd ] || exit 2
target/review2 deadvoters review/6/record.txt
