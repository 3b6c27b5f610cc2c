"""The definitions of log events and metrics match their uses in the code."""

import ast
from collections.abc import Iterator
from pathlib import Path

import pytest

from azureturn.observability import LOG_EVENTS, LOG_FIELDS, METRICS, LogEvent, Metric, MetricKind

PACKAGE = Path(__file__).parents[2]
LOG_METHODS = ("info", "error")
METRIC_METHODS = {"count": MetricKind.COUNTER, "time": MetricKind.TIMER, "set": MetricKind.GAUGE}


def method_calls() -> Iterator[tuple[str, ast.Call]]:
    for path in sorted(PACKAGE.rglob("*.py")):
        if "tests" in path.parts or "gen" in path.parts:
            continue
        for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
            if isinstance(node, ast.Call) and isinstance(node.func, ast.Attribute):
                yield f"{path.name}:{node.lineno}", node


def member_of(call: ast.Call, enumeration: str) -> str | None:
    first = call.args[0] if call.args else None
    if isinstance(first, ast.Attribute) and isinstance(first.value, ast.Name):
        return first.attr if first.value.id == enumeration else None
    return None


def keyword_names(call: ast.Call, *, excluding: tuple[str, ...] = ()) -> set[str]:
    return {keyword.arg for keyword in call.keywords if keyword.arg} - set(excluding)


def test_logged_fields_are_declared_for_their_event() -> None:
    mismatches = []
    for place, call in method_calls():
        name = member_of(call, "LogEvent")
        if name is None or call.func.attr not in LOG_METHODS:  # type: ignore[attr-defined]
            continue
        undeclared_fields = keyword_names(call) - set(LOG_EVENTS[LogEvent[name]].fields)
        mismatches += [f"{place}: {name} has no field {field}" for field in undeclared_fields]
    assert mismatches == []


def test_every_event_is_logged_somewhere() -> None:
    logged_names = {name for _, call in method_calls() if (name := member_of(call, "LogEvent"))}
    assert {event.name for event in LogEvent} - logged_names == {"LINES_LEFT_OUT"}


@pytest.mark.parametrize("event", LogEvent)
def test_declared_fields_of_each_event_are_documented(event: LogEvent) -> None:
    assert set(LOG_EVENTS[event].fields) <= set(LOG_FIELDS)


def test_metrics_are_recorded_as_defined() -> None:
    recorded_metrics = set()
    mismatches = []
    for place, call in method_calls():
        name = member_of(call, "Metric")
        if name is None:
            continue
        metric = Metric[name]
        recorded_metrics.add(metric)
        method = call.func.attr  # type: ignore[attr-defined]
        if METRIC_METHODS.get(method) is not METRICS[metric].kind:
            mismatches.append(f"{place}: {name} is not a metric for {method}()")
        if keyword_names(call, excluding=("by",)) != set(metric.tags):
            mismatches.append(f"{place}: {name} needs the tags {metric.tags}")
    assert mismatches == []
    assert recorded_metrics == set(Metric)
