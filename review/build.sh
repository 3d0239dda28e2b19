#!/bin/sh
# Builds the stand-ins of the cases, after the build of the deploy file. It needs no network.
set -e
cd "$(dirname "$0")/.."
exec go build -tags review -o target/review-standin ./review/standin
