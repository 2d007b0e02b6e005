#!/usr/bin/env bash
# Builds the programs of the cases 11 to 15 with their stand-ins into target/.
set -eu
cd "$(dirname "$0")/.."
for source in review/1[1-5]/case.ts; do
  name=$(basename "$(dirname "$source")")
  npx --no-install esbuild "$source" --bundle --platform=node --target=node20 \
    --format=cjs --log-level=warning --outfile="target/review-3/$name.cjs"
done
