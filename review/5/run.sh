#!/bin/sh
exec "$(dirname "$0")/../run-2.sh" older-answer 5
