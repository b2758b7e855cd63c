"""Tests of what importing the package does, and of its requirements."""

import importlib.metadata
import pathlib
import re
import subprocess
import sys
import tomllib

import pytest
from packaging import requirements, utils

from scripts import gateway_requirements

ROOT = pathlib.Path(__file__).parent.parent

PROBE = """
import sys
started = []
names = {"subprocess.Popen", "os.fork", "os.posix_spawn", "os.system"}
sys.addaudithook(
    lambda event, args: started.append(event) if event in names else None
)
import oleanderbay.cli.main
import oleanderbay.cli.declared
import oleanderbay.process.entry
assert not started, started
"""


def test_an_entry_starts_no_process_while_it_is_imported():
    """Croniter ran the command `file` whenever an entry started."""
    done = subprocess.run(
        [sys.executable, "-c", PROBE], capture_output=True, text=True
    )
    assert done.returncode == 0, done.stderr


def test_the_gateway_runs_with_the_tested_packages():
    """A file that `make lock` did not renew would pin untested versions."""
    project = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]
    wanted = project["optional-dependencies"]["gateway"]
    assert set(wanted) <= set(project["dependencies"])
    lock = (ROOT / "requirements.lock").read_text()
    text = (ROOT / "requirements.txt").read_text()
    assert text == gateway_requirements.select(lock, wanted)
    pinned = set(re.findall(r"^([a-z0-9-]+)==", text, re.MULTILINE))
    for name in pinned:
        for line in importlib.metadata.requires(name) or ():
            needed = requirements.Requirement(line)
            if not needed.marker or needed.marker.evaluate({"extra": ""}):
                assert utils.canonicalize_name(needed.name) in pinned, name


def test_a_package_that_is_not_locked_is_refused():
    """A package without a pinned version must not be left out silently."""
    lock = "aiohttp==1 \\\n    --hash=sha256:00\n    # via thing\n"
    with pytest.raises(ValueError, match="thing"):
        gateway_requirements.select(lock, ["thing"])
