"""Text table of runs: means over seeds with 95% confidence intervals."""

import math
from collections import defaultdict
from dataclasses import dataclass

#: Two-sided 95% quantiles of Student's t by degrees of freedom, from 1; beyond the last, the
#: normal quantile is used.
_STUDENT_95 = (
    12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228,
    2.201, 2.179, 2.160, 2.145, 2.131, 2.120, 2.110, 2.101, 2.093, 2.086,
)  # fmt: skip
_NORMAL_95 = 1.96

#: Measure, heading and factor of each column.
_COLUMNS = (
    ("goodput_0", "top %", 100.0),
    ("goodput_1", "mid %", 100.0),
    ("goodput_2", "low %", 100.0),
    ("goodput", "all %", 100.0),
    ("goodput_tokens", "tokens %", 100.0),
    ("goodput_others", "others %", 100.0),
    ("refused_0", "refused 0", 1.0),
    ("refused_1", "refused 1", 1.0),
    ("refused_2", "refused 2", 1.0),
    ("top_shed", "top shed", 1.0),
    ("prefill_ratio", "prefill/bound", 1.0),
    ("wasted_prefill", "wasted ktok", 0.001),
    ("first_token_p95_ms", "first p95 ms", 1.0),
    ("between_tokens_p95_ms", "between p95 ms", 1.0),
)


@dataclass(frozen=True)
class RunRow:
    """The measures of one run."""

    site: str
    scenario: str
    policy: str
    seed: int
    measures: dict[str, float]


@dataclass(frozen=True)
class Interval:
    """A mean and the half width of its 95% confidence interval."""

    mean: float
    half_width: float

    @classmethod
    def from_values(cls, values: list[float]) -> "Interval":
        """Return the interval of a sample; the interval of a single value has no width."""
        count = len(values)
        mean = sum(values) / count
        if count < 2:
            return cls(mean, 0.0)
        variance = sum((value - mean) ** 2 for value in values) / (count - 1)
        t_value = _STUDENT_95[count - 2] if count - 2 < len(_STUDENT_95) else _NORMAL_95
        return cls(mean, t_value * math.sqrt(variance / count))

    def scaled(self, factor: float) -> str:
        """Return the interval as text, with mean and half width multiplied by a factor."""
        return f"{self.mean * factor:.1f}±{self.half_width * factor:.1f}"


def format_table(rows: list[RunRow]) -> str:
    """Return a text table with one row for each site, scenario and policy."""
    groups: dict[tuple[str, str, str], list[RunRow]] = defaultdict(list)
    for row in rows:
        groups[(row.site, row.scenario, row.policy)].append(row)
    header = ["site", "scenario", "policy", "seeds"] + [title for _, title, _ in _COLUMNS]
    lines = [header]
    for (site, scenario, policy), group in groups.items():
        row_cells = [site, scenario, policy, str(len(group))]
        for measure, _, factor in _COLUMNS:
            values = [row.measures[measure] for row in group]
            row_cells.append(Interval.from_values(values).scaled(factor))
        lines.append(row_cells)
    widths = [max(len(line[column]) for line in lines) for column in range(len(header))]
    return "\n".join(
        "  ".join(cell.rjust(width) for cell, width in zip(line, widths, strict=True))
        for line in lines
    )
