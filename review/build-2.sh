#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 8, and the production version from the repository's
# history for case 7. The programs under test are built by the build line of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2-production
go build -o target/review-2 ./review/standin2
production=$(sed -nE 's/^production = "([^"]*)"$/\1/p' deploy/system.toml)
if ! git cat-file -e "$production^{commit}" 2>/dev/null; then
  echo "review/build-2.sh: the history lacks the production version $production; case 7 can't run" >&2
  exit 0
fi
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
git archive "$production" | tar -x -C "$scratch"
(cd "$scratch" && go build -ldflags=-linkmode=external -o production ./cmd/tanagerweir)
mv "$scratch/production" target/review-2-production/tanagerweir
