#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start, into target/. It needs the
# module cache as the build of the deploy file leaves it, and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
go test -c -tags review -o target/latewrite ./review/7/latewrite
go test -c -tags review -o target/crowdmemory ./review/8/crowdmemory
