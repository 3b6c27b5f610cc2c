"""The retry budget: each VM uses its own share, so that no coordination is needed."""

from dataclasses import dataclass

from azureturn.framework import Table
from azureturn.framework import changed_row as changed
from azureturn.gateway.settings import RetryBounds

#: Fractions of the configured bounds that are used; the rest covers requests that are counted in
#: another window.
_RATIO_SHARE = 0.7
_SLACK_SHARE = 0.75


@dataclass(frozen=True)
class RetryBudget:
    """Retries that this VM may still send to one service."""

    remaining: float = 0.0
    #: Whether the VM's share of the slack has been credited, which the first request does.
    has_slack: bool = False

    def with_request(self, bounds: RetryBounds, vms: int) -> "RetryBudget":
        """Return a copy credited for one more first attempt."""
        limit = _SLACK_SHARE * bounds.slack / max(1, vms)
        remaining = limit if not self.has_slack else self.remaining + _RATIO_SHARE * bounds.ratio
        return changed(self, remaining=min(limit, remaining), has_slack=True)

    def with_retry(self) -> "RetryBudget":
        """Return a copy charged with one more retry."""
        return changed(self, remaining=self.remaining - 1)


class RetryBudgetTable(Table[str, RetryBudget]):
    """Retry budgets, keyed by service."""

    def of(self, service: str) -> RetryBudget:
        """Return the budget of a service."""
        return self.get(service) or RetryBudget()

    def take(self, service: str) -> bool:
        """Charge one retry to the budget, and return whether it is allowed."""
        state = self.of(service)
        if state.remaining < 1:
            return False
        self.put(service, state.with_retry())
        return True
