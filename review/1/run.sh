#!/bin/sh
# TROUBLE=0 does the same without the disruption.
if [ "${TROUBLE:-1}" = 0 ]; then TROUBLE=0; else TROUBLE=1; fi
export TROUBLE
exec sh "$(dirname "$0")/../run-case.sh" calls "$(dirname "$0")"
