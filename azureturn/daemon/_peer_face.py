"""What this VM does for other VMs."""

import json
from dataclasses import asdict

from azureturn.core import (
    AnswerHeartbeat,
    AnswerOffer,
    ConfigurationTable,
    HeartbeatReceived,
    RequestOffered,
)
from azureturn.daemon._offers import request_of_offer
from azureturn.daemon._operators import answer_operator
from azureturn.daemon._outcomes import unknown_outcome
from azureturn.daemon._services import Services
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
    heartbeat_from_wire,
    heartbeat_to_wire,
)


class PeerFace:
    """Answers the calls of other VMs from the core and the outcomes."""

    def __init__(self, services: Services) -> None:
        self._services = services

    def find_outcome(self, query: OutcomeQuery) -> Outcome:
        """Return what this process knows of a call that it holds the claim of."""
        key = (query.organisation, query.idempotency_key)
        known_digest = self._services.outcomes.body_digest(key)
        if query.boot_id != self._services.boot_id or known_digest is None:
            return unknown_outcome()
        if known_digest != query.body_digest:
            raise AzureturnError(ErrorKind.IDEMPOTENCY_KEY_REUSED)
        return self._services.outcomes.find(key, wait_ms=query.wait_ms)

    def exchange_heartbeat(self, heartbeat: Heartbeat) -> Heartbeat:
        """Take a heartbeat in and return this VM's own."""
        received = HeartbeatReceived(heartbeat_from_wire(heartbeat), answer_wanted=True)
        for action in self._services.runtime.submit(received):
            if isinstance(action, AnswerHeartbeat):
                return heartbeat_to_wire(action.heartbeat)
        raise AzureturnError(ErrorKind.STOPPING, "this VM has not started")

    def offer_request(self, offer: Offer) -> OfferAnswer:
        """Say whether this VM takes a request that the peer would shed."""
        vm = self._services.settings.vm
        offered = RequestOffered(request_of_offer(offer), from_vm="")
        accepted = any(
            isinstance(action, AnswerOffer) and action.accepted
            for action in self._services.runtime.submit(offered)
        )
        return OfferAnswer(accepted=accepted, host=vm.host, port=vm.port)

    def fetch_configuration(self, query: ConfigurationQuery) -> ConfigurationAnswer:
        """Return the configuration in force where it is newer than the asker's."""
        configuration = self._services.runtime.inspect(
            lambda core: core.board.table(ConfigurationTable).in_force()
        )
        if configuration.revision <= (query.newer_than_revision or 0):
            return ConfigurationAnswer(revision=0, document=b"")
        document = json.dumps(asdict(configuration.shared)).encode()
        return ConfigurationAnswer(revision=configuration.revision, document=document)

    def operate(self, query: OperatorQuery) -> OperatorAnswer:
        """Answer an operator's query."""
        return answer_operator(self._services, query)
