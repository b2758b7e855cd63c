"""Reads settings files: JSON with comments."""

import pathlib
import re
from typing import Any

import json5

from oleanderbay.process import checker

MAX_FILE_BYTES = 1_048_576


class SettingsError(Exception):
    """The settings can't be used.

    Attributes:
        mistakes: Every mistake that was found, in file order.
    """

    def __init__(self, mistakes: tuple[checker.Mistake, ...]) -> None:
        super().__init__("\n".join(str(mistake) for mistake in mistakes))
        self.mistakes = mistakes


def read(path: pathlib.Path) -> str:
    """Returns the text of a settings file.

    Raises:
        SettingsError: The file can't be read.
    """
    try:
        if path.stat().st_size > MAX_FILE_BYTES:
            raise SettingsError(
                (_whole("a larger file", f"at most {MAX_FILE_BYTES} bytes"),)
            )
        text = path.read_text(encoding="utf-8")
    except OSError as error:
        raise SettingsError(
            (_whole(error.strerror or "an error", "a readable file"),)
        ) from error
    except UnicodeDecodeError as error:
        raise SettingsError(
            (_whole(f"byte {error.start} is not UTF-8", "UTF-8 text"),)
        ) from error
    return text


def parse(text: str) -> Any:
    """Returns the tree of a settings text.

    Raises:
        SettingsError: It is no JSON with comments.
    """
    try:
        tree = json5.loads(text, allow_duplicate_keys=False)
    except (ValueError, RecursionError) as error:
        line = re.search(r":(\d+)", str(error))
        raise SettingsError(
            (
                checker.Mistake(
                    "(file)",
                    int(line[1]) if line else 0,
                    str(error) or type(error).__name__,
                    "JSON with comments is allowed",
                ),
            )
        ) from error
    return tree


def _whole(found: str, allowed: str) -> checker.Mistake:
    return checker.Mistake("(file)", 0, found, f"{allowed} is allowed")
