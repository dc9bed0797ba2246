#!/bin/sh
# Builds the stand-ins that the scripts of the cases 4 to 8 start. They are plain modules for Node.js, which
# need no build; here it is only checked that they can be parsed.
cd "$(dirname "$0")" || exit 2
for file in shared-2/*.mjs [4-8]/*.mjs; do
  [ -e "$file" ] || continue
  node --check "$file" || exit 1
done
