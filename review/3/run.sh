#!/bin/sh
exec sh "$(dirname "$0")/../run-case.sh" overrides "$(dirname "$0")"
