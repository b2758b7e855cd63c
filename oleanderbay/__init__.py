"""Serves models whose replicas span several machines."""

import platform
import struct

__version__ = "0.1.0"


def _import_croniter() -> None:
    """Imports croniter without the process that it would start.

    `mode` imports croniter, which calls `platform.architecture()` while it is
    imported; that runs the command `file`. A process of the system starts no
    other process.
    """
    original = platform.architecture
    bits = f"{8 * struct.calcsize('P')}bit"
    platform.architecture = lambda *args, **kwargs: (bits, "")
    try:
        import croniter  # noqa: F401
    except ImportError:
        pass  # Tools that only read the version need no dependencies.
    finally:
        platform.architecture = original


_import_croniter()
