"""Declarations: a directory of JSON files with comments."""

import dataclasses
import pathlib
from collections.abc import Iterable, Iterator
from typing import Any

import json5

from oleanderbay.version import (
    catalogue,
    changes,
    fields,
    records,
    references,
    resources,
    validation,
    verdicts,
)

# Planned changes and serving groups are not declared: the first are orders
# that run once, the second are decided by the system.
SECTIONS = {
    "fleets": "fleet",
    "zones": "zone",
    "domains": "domain",
    "teams": "team",
    "services": "service",
    "routes": "route",
    "group_requests": "group_request",
}

SUFFIXES = frozenset((".json", ".json5"))
MAX_FILE_BYTES = 1_000_000
MAX_FILES = 1_000


class DeclarationsError(Exception):
    """Files that don't describe resources.

    Attributes:
        mistakes: All mistakes that were found.
    """

    def __init__(self, mistakes: Iterable[fields.Mistake]) -> None:
        self.mistakes = tuple(mistakes)
        super().__init__("\n".join(str(item) for item in self.mistakes))


@dataclasses.dataclass(frozen=True, slots=True)
class Declared:
    """One resource with the place where it is declared."""

    resource: resources.Resource
    path: str


@dataclasses.dataclass(frozen=True, slots=True)
class Declarations:
    """Everything that a set of files declares."""

    items: tuple[Declared, ...]

    @property
    def resources(self) -> tuple[resources.Resource, ...]:
        """The resources in file order."""
        return tuple(item.resource for item in self.items)

    def fleets(self) -> frozenset[str]:
        """Ids of the fleets that the files declare or name."""
        return frozenset(
            resource.id
            if isinstance(resource, resources.Fleet)
            else resource.fleet
            for resource in self.resources
        ) - {""}


def load(
    path: pathlib.Path, known: Iterable[resources.Resource] = ()
) -> Declarations:
    """Reads a file, or all files of a directory and its subdirectories.

    Args:
        path: File or directory.
        known: Resources in force, which the files may refer to by name.

    Raises:
        DeclarationsError: With the mistakes of all files.
    """
    texts = []
    mistakes = []
    for file in _files(path):
        name = file.name if path.is_file() else str(file.relative_to(path))
        try:
            data = file.read_bytes()
            if len(data) > MAX_FILE_BYTES:
                raise ValueError(f"is over {MAX_FILE_BYTES} bytes")
            texts.append((name, data.decode()))
        except (OSError, ValueError) as error:
            mistakes.append(fields.Mistake(name, "file", str(error)))
    try:
        result = parse(texts, known)
    except DeclarationsError as error:
        mistakes.extend(error.mistakes)
    if mistakes:
        raise DeclarationsError(mistakes)
    return result


def parse(
    texts: Iterable[tuple[str, str]],
    known: Iterable[resources.Resource] = (),
) -> Declarations:
    """Reads the texts of files.

    Args:
        texts: Name and content of each file.
        known: Resources in force, which the files may refer to by name.

    Raises:
        DeclarationsError: With the mistakes of all files.
    """
    mistakes: list[fields.Mistake] = []
    plain: list[_Plain] = []
    for name, text in texts:
        plain.extend(_read_file(name, text, mistakes))
    names = _Names(plain, known)
    items = []
    for item in plain:
        names.resolve(item, mistakes)
        cls = resources.RESOURCE_KINDS[item.kind]
        try:
            resource = fields.from_plain(cls, item.value, item.path)
        except fields.FieldsError as error:
            mistakes.extend(error.mistakes)
            continue
        items.append(Declared(resource, item.path))
        mistakes.extend(
            dataclasses.replace(mistake, path=f"{item.path}.{mistake.path}")
            for mistake in validation.check(resource)
        )
    if mistakes:
        raise DeclarationsError(mistakes)
    return Declarations(tuple(items))


def check(
    declared: Declarations,
) -> tuple[tuple[str, verdicts.Conflict], ...]:
    """Checks declarations against each other, without the state in force.

    Returns:
        Each conflict with the path of the resource concerned.
    """
    paths = {
        (fields.kind_of(item.resource), item.resource.id): item.path
        for item in declared.items
    }
    change = records.Change(
        upserts=tuple(
            records.Upsert(resource=resource) for resource in declared.resources
        )
    )
    return tuple(
        (paths.get((conflict.kind, conflict.id), ""), conflict)
        for conflict in changes.check(catalogue.Catalogue.empty(), change)
    )


@dataclasses.dataclass(frozen=True, slots=True)
class _Plain:
    """A resource as read, before names are resolved."""

    kind: str
    value: dict[str, Any]
    path: str


def _files(path: pathlib.Path) -> list[pathlib.Path]:
    if path.is_file():
        return [path]
    if not path.is_dir():
        raise DeclarationsError(
            [fields.Mistake(str(path), "nothing", "must be a file or folder")]
        )
    found = sorted(
        file
        for file in path.rglob("*")
        if file.suffix in SUFFIXES and file.is_file()
    )
    if not 0 < len(found) <= MAX_FILES:
        raise DeclarationsError(
            [
                fields.Mistake(
                    str(path),
                    f"{len(found)} files",
                    f"must hold 1 to {MAX_FILES} files that end in "
                    + " or ".join(sorted(SUFFIXES)),
                )
            ]
        )
    return found


def _read_file(
    name: str, text: str, mistakes: list[fields.Mistake]
) -> Iterator[_Plain]:
    try:
        value = json5.loads(text, allow_duplicate_keys=False)
    except (ValueError, RecursionError) as error:
        # The parser's message starts with its own name for the text.
        reason = str(error).removeprefix("<string>:") or "nested too deeply"
        mistakes.append(
            fields.Mistake(name, "text", f"is not JSON: line {reason}")
        )
        return
    if not isinstance(value, dict):
        mistakes.append(
            fields.Mistake(name, fields.shown(value), "must be an object")
        )
        return
    fleet = value.pop("fleet", "")
    if not isinstance(fleet, str):
        mistakes.append(
            fields.Mistake(
                f"{name}:fleet", fields.shown(fleet), "must be a string"
            )
        )
        fleet = ""
    for section, entries in value.items():
        kind = SECTIONS.get(section)
        if kind is None:
            mistakes.append(
                fields.unknown_key(
                    f"{name}:", section, entries, ["fleet", *SECTIONS]
                )
            )
            continue
        if not isinstance(entries, list):
            mistakes.append(
                fields.Mistake(
                    f"{name}:{section}",
                    fields.shown(entries),
                    "must be a list",
                )
            )
            continue
        for index, entry in enumerate(entries):
            path = f"{name}:{section}[{index}]"
            plain = _read_entry(kind, entry, fleet, path, mistakes)
            if plain is not None:
                yield plain


def _read_entry(
    kind: str,
    entry: Any,
    fleet: str,
    path: str,
    mistakes: list[fields.Mistake],
) -> _Plain | None:
    if not isinstance(entry, dict):
        mistakes.append(
            fields.Mistake(path, fields.shown(entry), "must be an object")
        )
        return None
    value = dict(entry)
    if "version" in value:
        mistakes.append(
            fields.Mistake(
                f"{path}.version",
                fields.shown(value.pop("version")),
                "is set by the system",
            )
        )
    if kind != "fleet":
        value.setdefault("fleet", fleet)
    name = value.get("name")
    if "id" not in value and isinstance(name, str):
        owner = value.get("fleet")
        value["id"] = f"{owner}.{name}" if owner else name
    return _Plain(kind, value, path)


class _Names:
    """Ids by what declarations may call a resource."""

    def __init__(
        self, plain: Iterable[_Plain], known: Iterable[resources.Resource]
    ) -> None:
        self.ids: set[tuple[str, str]] = set()
        self.names: dict[tuple[str, str, str], set[str]] = {}
        for item in plain:
            self._add(
                item.kind,
                item.value.get("fleet", ""),
                item.value.get("name"),
                item.value.get("id"),
            )
        for resource in known:
            kind = fields.kind_of(resource)
            # A resource that the files rename has its new name only.
            if (kind, resource.id) not in self.ids:
                self._add(kind, resource.fleet, resource.name, resource.id)

    def _add(self, kind: str, fleet: Any, name: Any, id: Any) -> None:
        if isinstance(id, str):
            self.ids.add((kind, id))
            if isinstance(fleet, str) and isinstance(name, str):
                self.names.setdefault((kind, fleet, name), set()).add(id)

    def resolve(self, item: _Plain, mistakes: list[fields.Mistake]) -> None:
        """Replaces names in an item's references by ids."""
        for field, kind in references.fields_of(
            resources.RESOURCE_KINDS[item.kind]
        ):
            value = item.value.get(field)
            path = f"{item.path}.{field}"
            if field == "fleet" or not value:
                continue
            if isinstance(value, list):
                item.value[field] = [
                    self._id(kind, item, part, f"{path}[{index}]", mistakes)
                    for index, part in enumerate(value)
                ]
            else:
                item.value[field] = self._id(kind, item, value, path, mistakes)

    def _id(
        self,
        kind: str,
        item: _Plain,
        value: Any,
        path: str,
        mistakes: list[fields.Mistake],
    ) -> Any:
        if not isinstance(value, str):
            return value
        found: set[str] = set()
        fleet = item.value.get("fleet", "")
        for owner in (fleet, "") if isinstance(fleet, str) else ("",):
            found |= self.names.get((kind, owner, value), set())
        if (kind, value) in self.ids:
            found.add(value)
        if len(found) > 1:
            # Taking either would be a guess; merged fleets reuse names.
            mistakes.append(
                fields.Mistake(
                    path,
                    fields.shown(value),
                    f"may mean {' or '.join(sorted(found))}; use the id",
                )
            )
        return found.pop() if len(found) == 1 else value
