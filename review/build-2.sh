#!/usr/bin/env bash
# Builds what the scripts of cases 6 and 7 start beside the project's programs.
# Their stand-ins are plain modules in review/lib-2, so there is nothing to compile.
cd "$(dirname "$0")/.." || exit 1
for program in target/entry.cjs target/agent.cjs; do
  [ -f "$program" ] || { echo "$program is missing: run the build of the deploy file"; exit 1; }
done
for module in review/lib-2/*.mjs review/[67]/play.mjs; do
  node --check "$module" || exit 1
done
