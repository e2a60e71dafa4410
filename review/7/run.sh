#!/usr/bin/env bash
# TROUBLE=0: without the disruption.
source "$(dirname "$0")/../standins-2/run-case.sh" early_reset
