# Sourced by the other scripts: creates the virtual environment if missing and puts it on PATH.
# Its path contains a digest of requirements.lock, so checkouts with the same lock file share it.
set -euo pipefail
REPOSITORY="$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)"
LOCK_DIGEST="$(sha256sum "$REPOSITORY/requirements.lock" | cut -c1-16)"
ENVIRONMENT="${AZURETURN_ENVIRONMENT:-${XDG_CACHE_HOME:-$HOME/.cache}/azureturn/$LOCK_DIGEST}"
if [ ! -f "$ENVIRONMENT/complete" ]; then
    mkdir -p "$(dirname "$ENVIRONMENT")"
    exec 9>"$ENVIRONMENT.lock"
    flock 9
    if [ ! -f "$ENVIRONMENT/complete" ]; then
        echo "creating the environment in $ENVIRONMENT" >&2
        python3 -m venv "$ENVIRONMENT"
        "$ENVIRONMENT/bin/pip" install --quiet --require-hashes --no-deps \
            -r "$REPOSITORY/requirements.lock" >&2
        touch "$ENVIRONMENT/complete"
    fi
    flock -u 9
    exec 9>&-
fi
export PATH="$ENVIRONMENT/bin:$PATH"
export PYTHONPATH="$REPOSITORY"
export PYTHONDONTWRITEBYTECODE=1
export PYTHONHASHSEED=0
cd "$REPOSITORY"
