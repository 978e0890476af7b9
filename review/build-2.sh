#!/bin/sh
# Checks that the stand-ins of the cases 6 to 10 load: they need no compiler,
# and their libraries are those of the deploy file's build.
set -e
cd "$(dirname "$0")/.."
PYTHONPATH=.:target/deps python3 -c 'import review.second_record, review.second_site'
