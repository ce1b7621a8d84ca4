#!/bin/bash
# Builds the stand-ins of the review's cases. It needs the Go tool chain and no network: they use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
CGO_ENABLED=0 GOPROXY=off go build -o review/bin/ ./review/standin
