"""Handles the calls of other VMs and of operators."""

import json
from dataclasses import asdict

from azureturn.core import (
    AnswerHeartbeat,
    AnswerOffer,
    ConfigurationTable,
    HeartbeatReceived,
    RequestOffered,
)
from azureturn.daemon._context import DaemonContext
from azureturn.daemon._duplicate_calls import answer_query
from azureturn.daemon._heartbeats import heartbeat_from_wire, heartbeat_to_wire
from azureturn.daemon._offers import request_from_offer
from azureturn.daemon._operators import answer_operator
from azureturn.daemon._ticketed_calls import TicketedCalls
from azureturn.errors import AzureturnError, ErrorKind
from azureturn.peers import (
    ConfigurationAnswer,
    ConfigurationQuery,
    Heartbeat,
    Offer,
    OfferAnswer,
    OperatorAnswer,
    OperatorQuery,
    Outcome,
    OutcomeQuery,
    TicketedCall,
)


class DaemonPeerHandler:
    """Answers calls on the peer port from the core's state and the recorded outcomes."""

    def __init__(self, context: DaemonContext, ticketed_calls: TicketedCalls) -> None:
        self._context = context
        self._ticketed_calls = ticketed_calls

    def find_outcome(self, query: OutcomeQuery) -> Outcome:
        """Return the outcome of a call whose claim this process holds."""
        return answer_query(self._context, query)

    def run_ticketed_call(self, call: TicketedCall) -> Outcome:
        """Run a call whose ticket this process issued."""
        return self._ticketed_calls.run_for_peer(call)

    def exchange_heartbeat(self, heartbeat: Heartbeat) -> Heartbeat:
        """Process a peer's heartbeat and return this VM's own."""
        event = HeartbeatReceived(heartbeat_from_wire(heartbeat), answer_wanted=True)
        for action in self._context.runtime.submit(event):
            if isinstance(action, AnswerHeartbeat):
                return heartbeat_to_wire(action.heartbeat)
        raise AzureturnError(ErrorKind.STOPPING, "this VM has not started")

    def offer_request(self, offer: Offer) -> OfferAnswer:
        """Return whether this VM accepts a request that the peer would otherwise shed."""
        vm = self._context.settings.vm
        event = RequestOffered(request_from_offer(offer), from_vm="")
        accepted = any(
            isinstance(action, AnswerOffer) and action.accepted
            for action in self._context.runtime.submit(event)
        )
        return OfferAnswer(accepted=accepted, host=vm.host, port=vm.port)

    def fetch_configuration(self, query: ConfigurationQuery) -> ConfigurationAnswer:
        """Return the current configuration if it is newer than the peer's, else revision 0."""
        configuration = self._context.runtime.inspect(
            lambda core: core.board.table(ConfigurationTable).get_active()
        )
        if configuration.revision <= (query.newer_than_revision or 0):
            return ConfigurationAnswer(revision=0, document=b"")
        document = json.dumps(asdict(configuration.shared)).encode()
        return ConfigurationAnswer(revision=configuration.revision, document=document)

    def operate(self, query: OperatorQuery) -> OperatorAnswer:
        """Answer an operator query."""
        return answer_operator(self._context, query)
