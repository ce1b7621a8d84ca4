#!/bin/bash
# Case 3: a drained sender goes on serving a client whose pieces hold the end of one request and the start of the next.
exec "$(dirname "$0")/../play.sh" 3
