"""The budget of second tries: each VM spends its own share of it, so none need be asked."""

from dataclasses import dataclass

from azureturn.framework import Table
from azureturn.framework import changed_row as changed
from azureturn.gateway.settings import RetryBounds

#: Shares of the bounds that are used; the rest covers requests counted in another window.
_RATIO_SHARE = 0.7
_SLACK_SHARE = 0.75


@dataclass(frozen=True)
class RetryState:
    """Second tries that this VM may still send to one service."""

    tries: float = 0.0
    #: Whether the first requests have brought the share of the slack.
    has_slack: bool = False

    def with_request(self, bounds: RetryBounds, vms: int) -> "RetryState":
        """Return a copy after one more first try."""
        limit = _SLACK_SHARE * bounds.slack / max(1, vms)
        tries = limit if not self.has_slack else self.tries + _RATIO_SHARE * bounds.ratio
        return changed(self, tries=min(limit, tries), has_slack=True)

    def with_try(self) -> "RetryState":
        """Return a copy after one more second try."""
        return changed(self, tries=self.tries - 1)


class RetryTable(Table[str, RetryState]):
    """Budgets by service."""

    def of(self, service: str) -> RetryState:
        """Return a service's budget."""
        return self.get(service) or RetryState()

    def take(self, service: str) -> bool:
        """Return whether a second try may be sent, and count it."""
        state = self.of(service)
        if state.tries < 1:
            return False
        self.put(service, state.with_try())
        return True
