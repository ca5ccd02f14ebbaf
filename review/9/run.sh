#!/usr/bin/env bash
# Runs case 9: exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x bin/gannethook ] || [ ! -x bin/review-2/stand2 ]; then
  echo 'build the program and review/build-2.sh first' >&2
  exit 2
fi
exec bin/review-2/stand2 9 review/9 # it ends within 110 s, also when told to, with the router and its temporary folder
