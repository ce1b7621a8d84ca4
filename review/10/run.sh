#!/bin/sh
# Lets a destination that takes bulk calls fail for a time, with large messages.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x bin/stage ] && [ -x bin/cometrack ] || exit 2
exec bin/stage -case failback-large -record review/10/record.txt
