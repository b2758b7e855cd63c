"""Selects the gateway's packages from requirements.lock.

Run by `make lock`: the entries are copied, so that the gateway runs with the
versions and hashes that the tests have run with.
"""

import pathlib
import re
import tomllib

ROOT = pathlib.Path(__file__).parent.parent
HEADER = "# Made by `make lock` from requirements.lock; do not edit.\n"
_NAME = re.compile(r"[A-Za-z0-9._-]+")


def select(lock: str, wanted: list[str]) -> str:
    """Returns the entries of packages and of all that they depend on.

    Args:
        lock: Text of a lock file in the format of pip-compile, whose `via`
            comments name the dependents of each package.
        wanted: Requirements without extras.

    Raises:
        ValueError: A wanted package is not in the lock file.
    """
    # An entry ends where the next one begins: its lines are indented.
    entries = {
        _name(entry): entry
        for entry in re.findall(r"^[a-z0-9].*\n(?: .*\n)*", lock, re.MULTILINE)
    }
    chosen = {_name(requirement) for requirement in wanted}
    if missing := chosen - entries.keys():
        raise ValueError(f"not in the lock file: {sorted(missing)}")
    size = 0
    while size != len(chosen):
        size = len(chosen)
        chosen |= {
            name
            for name, entry in entries.items()
            if chosen.intersection(_dependents(entry))
        }
    kept = []
    for name in sorted(chosen):
        pinned = entries[name].partition("    # via")[0]
        dependents = sorted(chosen.intersection(_dependents(entries[name])))
        via = f"    # via {', '.join(dependents)}\n" if dependents else ""
        kept.append(pinned + via)
    return HEADER + "".join(kept)


def _name(requirement: str) -> str:
    found = _NAME.match(requirement)
    assert found is not None
    return re.sub(r"[-_.]+", "-", found.group()).lower()


def _dependents(entry: str) -> set[str]:
    comments = re.findall(
        r"^ +#(?: +via)?(?: +([A-Za-z0-9._-]+))?", entry, re.M
    )
    return {_name(name) for name in comments if name}


def main() -> None:
    """Writes requirements.txt."""
    project = tomllib.loads((ROOT / "pyproject.toml").read_text())
    (ROOT / "requirements.txt").write_text(
        select(
            (ROOT / "requirements.lock").read_text(),
            project["project"]["optional-dependencies"]["gateway"],
        )
    )


if __name__ == "__main__":
    main()
