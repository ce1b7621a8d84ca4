#!/bin/sh
# Replaces the processes of senders that have run for a while, with messages whose time is up just then.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x bin/stage ] && [ -x bin/cometrack ] || exit 2
exec bin/stage -case handover-late -record review/6/record.txt
