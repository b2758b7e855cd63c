"""Versions of the gateway that a trial runs, each in a folder of its own."""

import asyncio
import dataclasses
import io
import os
import pathlib
import sys
import tarfile
import tomllib

ROOT = pathlib.Path(__file__).parents[1]
DEPLOY_FILE = "deploy/system.toml"
REQUIREMENTS = "requirements.txt"
DEPENDENCIES = "target/deps"
# What a gateway is built from and started with.
BUILT_PATHS = ("oleanderbay", "deploy", REQUIREMENTS)


class BuildError(Exception):
    """A version can't be built; the message says why."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Build:
    """A version of the gateway.

    Attributes:
        name: Name in reports.
        folder: Folder with its sources.
        command: Command that starts a gateway.
        template: Template of a gateway's settings.
        environment: Environment of its processes without the settings.
    """

    name: str
    folder: pathlib.Path
    command: tuple[str, ...]
    template: str
    environment: dict[str, str]


async def working_tree(allow_changes: bool = False) -> Build:
    """Returns the build of the working tree.

    Args:
        allow_changes: Whether it may differ from its commit.

    Raises:
        BuildError: It is not what its commit holds, or can't be started.
    """
    changed = await _git("status", "--porcelain", "--", *BUILT_PATHS)
    if changed and not allow_changes:
        raise BuildError(
            "the working tree has uncommitted changes:"
            f" {changed.split(maxsplit=1)[1].splitlines()[0]}"
        )
    commit = await _git("rev-parse", "--short", "HEAD")
    name = f"{commit}, changed" if changed else commit
    return await _load(name, ROOT, [])


async def build(commit: str, folder: pathlib.Path) -> Build:
    """Builds a version from the repository's history.

    Args:
        commit: Name of a commit.
        folder: Empty folder for it.

    Raises:
        BuildError: The commit is unknown, or the build fails.
    """
    try:
        full = await _git("rev-parse", "--verify", f"{commit}^{{commit}}")
    except BuildError:
        shallow = await _git("rev-parse", "--is-shallow-repository") == "true"
        raise BuildError(
            f"unknown commit {commit!r}"
            + (": this clone is shallow" if shallow else "")
        ) from None
    archive = await _git_bytes("archive", full, "--", *BUILT_PATHS)
    with tarfile.open(fileobj=io.BytesIO(archive)) as files:
        files.extractall(folder, filter="data")
    dependencies = []
    needed = (folder / REQUIREMENTS).read_bytes()
    if needed != (ROOT / REQUIREMENTS).read_bytes():
        await _install(folder)
        dependencies.append(folder / DEPENDENCIES)
    return await _load(full[:7], folder, dependencies)


async def _load(
    name: str, folder: pathlib.Path, dependencies: list[pathlib.Path]
) -> Build:
    deploy = tomllib.loads((folder / DEPLOY_FILE).read_text())
    role = deploy["roles"]["gateway"]
    program, *arguments = role["run"].split()
    if program != "python3":
        raise BuildError(f"{name}: can't start {role['run']!r}")
    environment = {
        **os.environ,
        "PYTHONPATH": os.pathsep.join(map(str, (folder, *dependencies))),
    }
    found = await _output(
        f"{name}: the package can't be loaded",
        sys.executable,
        "-c",
        "import oleanderbay; print(oleanderbay.__file__)",
        environment=environment,
        folder=folder,
    )
    if not _is_within(found.decode().strip(), folder):
        raise BuildError(f"{name}: another version would be started")
    return Build(
        name=name,
        folder=folder,
        command=(sys.executable, *arguments),
        template=(folder / role["template"]).read_text(),
        environment=environment,
    )


def _is_within(path: str, folder: pathlib.Path) -> bool:
    return pathlib.Path(path).resolve().is_relative_to(folder.resolve())


async def _install(folder: pathlib.Path) -> None:
    """Installs the dependencies of a version into its folder."""
    await _output(
        "the dependencies can't be installed",
        sys.executable,
        "-m",
        "pip",
        "install",
        "-q",
        "--target",
        str(folder / DEPENDENCIES),
        "-r",
        str(folder / REQUIREMENTS),
    )


async def _git(*arguments: str) -> str:
    return (await _git_bytes(*arguments)).decode().strip()


async def _git_bytes(*arguments: str) -> bytes:
    try:
        return await _output("git fails", "git", "-C", str(ROOT), *arguments)
    except FileNotFoundError as error:
        raise BuildError("git is not installed") from error


async def _output(
    failure: str,
    *command: str,
    environment: dict[str, str] | None = None,
    folder: pathlib.Path | None = None,
) -> bytes:
    """Runs a command and returns its output.

    Raises:
        BuildError: It failed.
    """
    process = await asyncio.create_subprocess_exec(
        *command,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
        env=environment,
        cwd=folder,
    )
    output, errors = await process.communicate()
    if process.returncode:
        lines = errors.decode(errors="replace").strip().splitlines()
        raise BuildError(f"{failure}: {lines[-1] if lines else 'no output'}")
    return output
