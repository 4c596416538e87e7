#!/bin/sh
# Runs a case of the site program: run-2.sh CASE FOLDER-OF-THE-CASE. Exits with 1 if the rule was broken, 0 if it held, and
# 2 if the case could not run.
case_name=$1
cd "$(dirname "$0")/.." || exit 2
site=review/standin-2/target/release/review-site-2
[ -x "$site" ] && [ -x target/release/shaleshunt ] || { echo "not built" >&2; exit 2; }
folder=$(mktemp -d) || exit 2
end() {
    # Only processes that this run started: their ids, if they still have the settings of this run.
    for id in $(cat "$folder/pids" 2>/dev/null); do
        if [ -r "/proc/$id/cmdline" ] && tr "\0" " " < "/proc/$id/cmdline" | grep -q "$folder"; then kill -9 "$id" 2>/dev/null; fi
    done
    rm -rf "$folder"
}
trap 'kill "$program" 2>/dev/null; end; exit 2' INT TERM HUP
"$site" "$case_name" "$folder" "review/$2/record.txt" &
program=$!
wait "$program"
code=$?
end
case $code in 0|1) exit $code ;; *) exit 2 ;; esac
