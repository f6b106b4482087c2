#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the
# disruption.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/review-2/standins ] || [ ! -x target/release/shedhook ]; then
    echo "build first: cargo build --release; review/build-2.sh"
    exit 2
fi
exec target/review-2/standins still_running review/6
