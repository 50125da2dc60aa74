#!/usr/bin/env bash
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/case-5 ] && [ -x target/release/nutmegdale ] || exit 2
exec target/review/case-5 review/5/record.txt
