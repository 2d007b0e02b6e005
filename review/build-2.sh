#!/bin/sh
# The stand-ins of the second review are plain JavaScript for Node.js, without
# dependencies; the build checks that they parse. The cases use none of the
# project's stand-ins.
set -e
cd "$(dirname "$0")"
for file in standins-2/*.mjs 6/*.mjs 7/*.mjs 8/*.mjs 9/*.mjs 10/*.mjs; do
  [ ! -e "$file" ] || node --check "$file"
done
