"""Logs as one JSON object a line on standard error."""

import logging
import sys
from collections.abc import MutableMapping
from typing import Any, TextIO

import structlog


def configure(level: str, stream: TextIO | None = None) -> None:
    """Sets up structlog for this process.

    Records of libraries that use `logging` go the same way.

    Args:
        level: Lowest level that is written.
        stream: Where to write; standard error by default.
    """
    number = logging.getLevelNamesMapping()[level.upper()]
    output = stream if stream is not None else sys.stderr
    shared: list[Any] = [
        structlog.contextvars.merge_contextvars,
        structlog.processors.add_log_level,
        structlog.processors.TimeStamper(fmt="iso", utc=True),
        structlog.processors.format_exc_info,
        _one_line_error,
    ]
    structlog.configure(
        processors=[*shared, structlog.processors.JSONRenderer(default=str)],
        wrapper_class=structlog.make_filtering_bound_logger(number),
        logger_factory=structlog.WriteLoggerFactory(file=output),
        cache_logger_on_first_use=False,
    )
    handler = logging.StreamHandler(output)
    handler.setFormatter(
        structlog.stdlib.ProcessorFormatter(
            foreign_pre_chain=shared,
            processors=[
                structlog.stdlib.ProcessorFormatter.remove_processors_meta,
                structlog.processors.JSONRenderer(default=str),
            ],
        )
    )
    root = logging.getLogger()
    root.handlers = [handler]
    # Libraries log at info for each request and each service start.
    root.setLevel(max(number, logging.WARNING))


def _one_line_error(
    logger: Any, method: str, event: MutableMapping[str, Any]
) -> MutableMapping[str, Any]:
    # Traces are useful at debug level only; one line names the fault.
    trace = event.pop("exception", None)
    if trace:
        event["error"] = str(trace).strip().splitlines()[-1]
        if logging.getLogger().isEnabledFor(logging.DEBUG):
            event["exception"] = trace
    return event
