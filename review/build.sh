#!/bin/sh
# Builds the stand-ins of the scripts: they are Python modules that need no package.
set -e
cd "$(dirname "$0")"
for file in common/*.py [1-5]/*.py; do
  if [ -f "$file" ]; then python3 -m py_compile "$file"; fi
done
