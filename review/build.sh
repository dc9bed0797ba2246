#!/usr/bin/env bash
# The stand-ins of the cases are plain JavaScript that runs as it is; nothing has to be built.
set -euo pipefail
cd "$(dirname "$0")"
for file in shared/*.mjs */play.mjs; do node --check "$file"; done
