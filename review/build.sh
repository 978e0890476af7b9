#!/usr/bin/env bash
# Checks that every stand-in of the cases compiles; they need nothing beyond
# what the build of the deploy file puts into target/deps.
cd "$(dirname "$0")/.." || exit 2
export PYTHONPATH=.:target/deps PYTHONDONTWRITEBYTECODE=1
exec python3 -c 'import review.cases, review.clients, review.site'
