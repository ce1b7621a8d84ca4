#!/bin/bash
# Case 3: a new configuration while one process replaces the other is signalled to the old one and does not take effect.
exec "$(dirname "$0")/../play.sh" 3
