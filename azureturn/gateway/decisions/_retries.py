"""The retry budget of each service.

Every VM uses only its own share of the budget, so that the VMs need not coordinate.
"""

from dataclasses import dataclass

from azureturn.framework import Table
from azureturn.framework import changed_row as changed
from azureturn.gateway.settings import RetryBounds

#: Fractions of the configured ratio and slack that are used; the rest covers a retry and the
#: requests that it is measured against falling into different measurement windows.
_RATIO_SHARE = 0.7
_SLACK_SHARE = 0.75


@dataclass(frozen=True)
class RetryBudget:
    """Retries that this VM may still send to one service."""

    remaining: float = 0.0
    #: Whether this VM's share of the slack has been credited; the first request credits it.
    has_slack: bool = False

    def with_request(self, bounds: RetryBounds, vm_count: int) -> "RetryBudget":
        """Return a copy with the credit for one more request."""
        limit = _SLACK_SHARE * bounds.slack / max(1, vm_count)
        remaining = limit if not self.has_slack else self.remaining + _RATIO_SHARE * bounds.ratio
        return changed(self, remaining=min(limit, remaining), has_slack=True)

    def with_retry(self) -> "RetryBudget":
        """Return a copy from which one retry is deducted."""
        return changed(self, remaining=self.remaining - 1)


class RetryBudgetTable(Table[str, RetryBudget]):
    """Retry budgets, keyed by service."""

    def of(self, service: str) -> RetryBudget:
        """Return the budget of a service; empty before its first request."""
        return self.get(service) or RetryBudget()

    def allows(self, service: str) -> bool:
        """Return whether the budget of a service has room for one retry."""
        return self.of(service).remaining >= 1

    def take(self, service: str) -> None:
        """Charge one retry to the budget of a service."""
        self.put(service, self.of(service).with_retry())
