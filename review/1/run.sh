#!/bin/bash
# Case 1: a message that is given up while its bulk call still connects goes out with an empty body.
exec "$(dirname "$0")/../play.sh" 1
