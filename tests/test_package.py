"""Tests of what importing the package does, and of its requirements."""

import ast
import importlib.metadata
import pathlib
import re
import subprocess
import sys
import tomllib
from collections.abc import Iterator

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

# The packages of `oleanderbay.process` from the lowest to the highest, with
# the packages that each may import; any may import the common modules.
PROCESS = ROOT / "oleanderbay" / "process"
MAY_IMPORT = {
    "membership": set(),
    "configuration": {"membership"},
    "observation": {"membership"},
    "groups": {"membership", "observation"},
    "permits": set(),
    "serving": {"observation", "permits"},
    "operators": {"configuration"},
}


def _process_packages(text: str) -> Iterator[str]:
    """Yields the packages of `oleanderbay.process` that a module imports."""
    for node in ast.walk(ast.parse(text)):
        imported: list[str] = []
        if isinstance(node, ast.ImportFrom):
            assert not node.level, "imports are absolute"
            imported = [f"{node.module}.{alias.name}" for alias in node.names]
        elif isinstance(node, ast.Import):
            imported = [alias.name for alias in node.names]
        for name in imported:
            owner, _, rest = name.partition("oleanderbay.process.")
            package = rest.split(".")[0]
            if not owner and package in MAY_IMPORT:
                yield package


def test_packages_of_a_process_import_in_one_direction():
    """Packages that import each other can't be read one after the other."""
    lower: set[str] = set()
    for package, allowed in MAY_IMPORT.items():
        assert allowed <= lower, f"{package} is listed before what it imports"
        lower.add(package)
    found = {path.parent.name for path in PROCESS.glob("*/__init__.py")}
    assert found == set(MAY_IMPORT)
    for path in sorted(PROCESS.rglob("*.py")):
        if path == PROCESS / "entry.py":
            continue
        package = path.parent.name
        allowed = {package} | MAY_IMPORT.get(package, set())
        wrong = set(_process_packages(path.read_text())) - allowed
        assert not wrong, f"{path.relative_to(ROOT)} imports {sorted(wrong)}"


@pytest.mark.parametrize(
    "text",
    [
        "from oleanderbay.process import clock, groups",
        "from oleanderbay.process.groups import change_controller",
        "import oleanderbay.process.groups.change_controller as controller",
        "def load():\n"
        "    from oleanderbay.process.groups import change_controller",
    ],
)
def test_the_check_finds_each_form_of_import(text):
    """A check that overlooks a form of import would pass on a cycle."""
    assert list(_process_packages(text)) == ["groups"]


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
