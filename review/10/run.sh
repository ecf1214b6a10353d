#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
test -x target/release/madderloom && test -x target/review-2/case_queue || exit 2
exec target/review-2/case_queue review/10/record.txt
