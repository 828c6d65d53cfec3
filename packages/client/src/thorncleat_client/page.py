"""The error budget report as a self-contained HTML page.

Owns: nothing.
Relies on: the form of the operator API's answer for ``/burn``.
"""

import html
import typing as t

Json = dict[str, t.Any]
BAR_WIDTH_PIXELS = 300
BAR_HEIGHT_PIXELS = 14
# Burn rate shown as a full bar: the threshold of the ``page`` alert.
FULL_RATE = 14.4
_STYLE = """
body { font: 14px sans-serif; margin: 2em; color: #222 }
table { border-collapse: collapse } td, th { padding: 4px 10px; text-align: left }
tr:nth-child(even) { background: #f4f4f4 } rect.ok { fill: #3a7 } rect.burns { fill: #c43 }
"""


def _bar(rate: float) -> str:
    """Return a bar as SVG, full at the rate that raises a ``page`` alert."""
    width = min(BAR_WIDTH_PIXELS, rate / FULL_RATE * BAR_WIDTH_PIXELS)
    css_class = "burns" if rate > 1 else "ok"
    return (
        f'<svg width="{BAR_WIDTH_PIXELS}" height="{BAR_HEIGHT_PIXELS}">'
        f'<rect class="{css_class}" width="{width:.1f}" height="{BAR_HEIGHT_PIXELS}"/></svg>'
    )


def _row(row: Json) -> str:
    subject = row["subject"]
    causes = ", ".join(f"{name} {count}" for name, count in row["causes"].items())
    cells = [
        html.escape(subject["workspace"]),
        html.escape(subject["target"]),
        str(row["total"]),
        f"{row['rates']['5m']:.1f}",
        f"{row['rates']['1h']:.1f}",
        f"{row['rates']['6h']:.1f}",
        _bar(row["rates"]["1h"]),
        html.escape(row["alert"] or ""),
        html.escape(causes),
    ]
    return "<tr>" + "".join(f"<td>{cell}</td>" for cell in cells) + "</tr>"


def render(answer: Json) -> str:
    """Return the page as HTML.

    :param answer: the operator API's answer for ``/burn``.
    """
    rows = "\n".join(_row(row) for row in answer["rows"])
    downtime_items = "\n".join(
        f"<li>{html.escape(group)}: {seconds:.0f} s</li>"
        for group, seconds in sorted(answer["down_seconds"].items())
    )
    stranded_hours = answer["stranded_accelerator_seconds"] / 3600
    silent = html.escape(" ".join(answer["silent"]) or "none")
    return f"""<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Service-level burn</title>
<style>{_STYLE}</style></head><body>
<h1>Service-level burn</h1>
<p>A burn of 1 uses the error budget up exactly; the bars show the hour, full at {FULL_RATE}.</p>
<table><tr><th>workspace</th><th>target</th><th>requests</th><th>5m</th><th>1h</th><th>6h</th>
<th>burn in the hour</th><th>alert</th><th>causes</th></tr>
{rows}
</table>
<h2>Group downtime</h2>
<ul>{downtime_items}</ul>
<h2>Stranded accelerators</h2>
<p>{stranded_hours:.2f} accelerator hours</p>
<p>Daemons without figures: {silent}</p>
</body></html>
"""
