# Runs the case in whose folder the run.sh lies that sources this file, and
# leaves record.txt there. Exits with 2 if the case could not run.
here=$(cd "$(dirname "${BASH_SOURCE[1]}")" && pwd)
root=$(cd "$here/../.." && pwd)
program=target/platform/radishspread-platform
driver=target/review-2/case-$(basename "$here")

cd "$root" || exit 2
if [ ! -x "$program" ] || [ ! -x "$driver" ]; then
    echo "cannot run: build the deploy file's program and review/build-2.sh" >&2
    exit 2
fi
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout --signal=KILL 110 "$driver" "$program" "$folder" "$here/record.txt" \
    "${TROUBLE:-1}" &
running=$!
# The programs under test end with the driver.
trap 'kill "$running" 2>/dev/null; exit 2' TERM INT
wait "$running"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
