"""Draws the results and their growth on one page."""

import base64
import html
import io
import json
import pathlib
from collections.abc import Sequence

from bench import harness, rounds


def write(
    results: Sequence[harness.Result], directory: pathlib.Path
) -> pathlib.Path:
    """Writes `report.html` and `results.jsonl` and returns the page's path."""
    directory.mkdir(exist_ok=True)
    (directory / "results.jsonl").write_text(
        "".join(result.to_json() + "\n" for result in results)
    )
    bounds = harness.load_bounds()
    rows = "".join(_row(result, bounds.get(result.name)) for result in results)
    plots = "".join(
        _plot(result) for result in results if result.detail.get("series")
    )
    page = directory / "report.html"
    page.write_text(
        "<!doctype html><meta charset=utf-8><title>oleanderbay results"
        "</title><style>body{font:14px sans-serif;margin:2em}"
        "td,th{padding:2px 10px;text-align:left}.broken{color:#b00}"
        "figure{display:inline-block;margin:8px}</style>"
        "<h1>Benchmark results</h1><table><tr><th>figure<th>value<th>unit"
        f"<th>bound<th>deterministic</tr>{rows}</table>"
        f"<h2>Growth</h2>{plots}"
        f"<h2>Rounds on the users' bench</h2>{rounds.table(rounds.load())}"
    )
    return page


def _row(result: harness.Result, bound: harness.Bound | None) -> str:
    limit = ""
    css = ""
    if bound is not None:
        if bound.maximum is not None:
            limit += f"at most {bound.maximum:g} "
        if bound.minimum is not None:
            limit += f"at least {bound.minimum:g}"
        if bound.excess(result.value):
            css = " class=broken"
    detail = html.escape(json.dumps(dict(result.detail), sort_keys=True))
    return (
        f"<tr{css} title='{detail}'><td>{html.escape(result.name)}"
        f"<td>{result.value:.4g}<td>{html.escape(result.unit)}<td>{limit}"
        f"<td>{'yes' if result.deterministic else 'no'}</tr>"
    )


def _plot(result: harness.Result) -> str:
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(4, 2.6), dpi=90)
    series = {"this": result.detail["series"]}
    if result.detail.get("naive_series"):
        series["naive"] = result.detail["naive_series"]
    for label, points in series.items():
        sizes, values = zip(*points, strict=True)
        axes.plot(sizes, values, "o-", label=label)
    axes.set_xscale("log")
    axes.set_title(result.name, fontsize=9)
    axes.set_ylabel(result.unit, fontsize=8)
    axes.legend(fontsize=7)
    figure.tight_layout()
    buffer = io.BytesIO()
    figure.savefig(buffer, format="png")
    pyplot.close(figure)
    data = base64.b64encode(buffer.getvalue()).decode()
    return f"<figure><img src='data:image/png;base64,{data}'></figure>"
