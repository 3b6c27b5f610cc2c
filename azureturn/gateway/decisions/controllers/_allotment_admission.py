"""Admits requests that are within their organisation's allotment."""

from azureturn.errors import ErrorKind
from azureturn.framework import Context, Refuse, on
from azureturn.gateway.decisions._allotments import AllotmentTable
from azureturn.gateway.decisions._events import ReportRequested, RequestAdmitted, RequestReceived
from azureturn.gateway.decisions._overload import MAX_RETRY_AFTER_MS, MIN_RETRY_AFTER_MS
from azureturn.gateway.decisions._peers import PeerTable
from azureturn.gateway.decisions._tables import ViewTable
from azureturn.gateway.decisions.controllers._registry import (
    GatewayController,
    gateway_controller,
)
from azureturn.gateway.site import Allotment

_MS_PER_S = 1_000.0


@gateway_controller("allotment_admission")
class AllotmentAdmissionController(GatewayController):
    """Charges each request to its organisation's allotment, and refuses those beyond it."""

    reads = (ViewTable, PeerTable)
    writes = (AllotmentTable,)
    after = ("views",)

    @on(RequestReceived)
    def _on_request_received(self, event: RequestReceived, context: Context) -> None:
        request = event.request
        allotment = self._allotment_of(request.organisation)
        if allotment is None or allotment.rate_per_s <= 0:
            context.post(RequestAdmitted(request))
            return
        peers = self.board.read(PeerTable)
        table = self.board.write(AllotmentTable)
        window_ms = self.settings.bounds.allotment.window_ms
        own_units = table.own_units(context.now_ms, window_ms)
        live = peers.reporting_vms(context.now_ms, own_units)
        remaining = table.remaining(
            request.organisation,
            allotment,
            self.settings.bounds.allotment,
            units=request.allotment_units,
            live=live,
            now_ms=context.now_ms,
        )
        if remaining.units > 0 and (
            remaining.admitted_share >= 1.0 or context.random.random() < remaining.admitted_share
        ):
            if remaining.is_near_limit:
                context.post(ReportRequested())
            table.of(request.organisation).record_admitted(
                request.allotment_units, context.now_ms, is_sent=False
            )
            context.post(RequestAdmitted(request.with_charge(context.now_ms)))
            return
        retry_after_ms = _refill_ms(remaining.units, allotment, request.allotment_units)
        context.act(
            Refuse(
                request.request_id,
                ErrorKind.OVER_ALLOTMENT,
                retry_after_ms,
                detail=f"units left {remaining.units:.0f}, "
                f"admitted share {remaining.admitted_share:.2f}, "
                f"live use share {live.usage_share:.2f}",
            )
        )

    def _allotment_of(self, organisation_name: str) -> Allotment | None:
        configuration = self.board.read(ViewTable).current().configuration
        if configuration is None:
            return None
        organisation = configuration.organisation(organisation_name)
        return None if organisation is None else organisation.allotment


def _refill_ms(remaining: float, allotment: Allotment, units: int) -> int:
    """Return the approximate time until enough units for the request have left the window."""
    wait_ms = (units - remaining) / allotment.rate_per_s * _MS_PER_S
    return int(min(MAX_RETRY_AFTER_MS, max(MIN_RETRY_AFTER_MS, wait_ms)))
