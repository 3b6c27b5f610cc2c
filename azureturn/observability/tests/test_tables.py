"""The tables of log events and metrics say exactly what the code does."""

import ast
from collections.abc import Iterator
from pathlib import Path

import pytest

from azureturn.observability import LOG_EVENTS, LOG_FIELDS, METRICS, LogEvent, Metric, MetricKind

PACKAGE = Path(__file__).parents[2]
LOG_METHODS = ("info", "error")
METRIC_METHODS = {"count": MetricKind.COUNTER, "time": MetricKind.TIMER, "set": MetricKind.GAUGE}


def calls() -> Iterator[tuple[str, ast.Call]]:
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


def keywords(call: ast.Call, *, without: tuple[str, ...] = ()) -> set[str]:
    return {one.arg for one in call.keywords if one.arg} - set(without)


def test_each_logged_field_stands_in_its_events_row() -> None:
    wrong = []
    for place, call in calls():
        name = member_of(call, "LogEvent")
        if name is None or call.func.attr not in LOG_METHODS:  # type: ignore[attr-defined]
            continue
        unknown = keywords(call) - set(LOG_EVENTS[LogEvent[name]].fields)
        wrong += [f"{place}: {name} has no field {field}" for field in unknown]
    assert wrong == []


def test_each_event_is_logged_somewhere() -> None:
    logged = {name for _, call in calls() if (name := member_of(call, "LogEvent"))}
    assert {event.name for event in LogEvent} - logged == {"LINES_LEFT_OUT"}


@pytest.mark.parametrize("event", LogEvent)
def test_each_event_has_a_row_of_known_fields(event: LogEvent) -> None:
    assert set(LOG_EVENTS[event].fields) <= set(LOG_FIELDS)


def test_each_metric_is_sent_as_its_row_says() -> None:
    sent = set()
    wrong = []
    for place, call in calls():
        name = member_of(call, "Metric")
        if name is None:
            continue
        metric = Metric[name]
        sent.add(metric)
        method = call.func.attr  # type: ignore[attr-defined]
        if METRIC_METHODS.get(method) is not METRICS[metric].kind:
            wrong.append(f"{place}: {name} is no metric for {method}()")
        if keywords(call, without=("by",)) != set(metric.tags):
            wrong.append(f"{place}: {name} needs the tags {metric.tags}")
    assert wrong == []
    assert sent == set(Metric)
