"""Tests of the sections that the settings of entries and gateways share."""

import copy
import dataclasses

import pytest

from oleanderbay.process import checker, sections, settings
from tests.process import test_settings


@pytest.mark.parametrize(
    ("kind", "exporter"),
    [
        (sections.TelemetrySettings, "none"),
        (settings.TelemetrySettings, "prometheus"),
    ],
)
def test_a_partial_section_keeps_the_other_defaults(kind, exporter):
    """An entry whose file sets only traces must still expose its metrics."""
    tree = {"traces": "otlp", "otlp_endpoint": "http://127.0.0.1:1"}
    checked = checker.Checker("").section(kind, tree, ())
    assert checked.metrics == exporter
    assert checked.interval_ms == 10_000


def test_the_overridden_default_keeps_the_limits():
    """A default that is declared again could lose what is allowed."""
    tree = copy.deepcopy(test_settings.TREE)
    tree["telemetry"] = {"metrics": "statsd"}
    with pytest.raises(settings.SettingsError) as caught:
        settings.check(tree)
    (mistake,) = caught.value.mistakes
    assert mistake.path == "telemetry.metrics"
    assert "'none', 'prometheus', 'otlp'" in mistake.allowed
    entry, shared = (
        [field.name for field in dataclasses.fields(kind)]
        for kind in (settings.TelemetrySettings, sections.TelemetrySettings)
    )
    assert entry == shared
