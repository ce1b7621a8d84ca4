#!/bin/sh
# Kills senders that share cores, and starts them again after an endpoint was removed from the list.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x bin/stage ] && [ -x bin/cometrack ] || exit 2
exec bin/stage -case restart-drain -record review/9/record.txt
