#!/bin/sh
# Exit code 0: the rule held, 1: it was broken, 2: the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/standin ] || exit 2
[ -x target/release/wigeonjunction ] || exit 2
exec target/review-2/standin poison target/release/wigeonjunction review/7/record.txt
