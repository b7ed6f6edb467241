#!/usr/bin/env bash
# Plays the case once and writes record.txt beside this script. TROUBLE=0 leaves the disruption out.
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
here="$(basename "$(cd "$(dirname "$0")" && pwd)")"
cd "$(dirname "$0")/../.." || exit 2
[ -x target/jacinthplankd ] && [ -x review/bin/standin ] || exit 2
exec review/bin/standin loss-at-restart "review/$here"
