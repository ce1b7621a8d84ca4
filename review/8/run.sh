#!/bin/sh
# Ends a sender while clients send many requests at once, in pieces that hold parts of requests.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x bin/stage ] && [ -x bin/cometrack ] || exit 2
exec bin/stage -case stop-pieces -record review/8/record.txt
