"""Registry of operator queries, by name, and their handlers."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, TypeVar

from azureturn._version import __version__
from azureturn.core import ConfigurationTable, Upstream, UpstreamTable
from azureturn.core.membership import PeerTable
from azureturn.daemon._context import DaemonContext
from azureturn.errors import AzureturnError, ErrorKind
from azureturn.framework import Core
from azureturn.peers import (
    NoArgument,
    OperatorAnswer,
    OperatorQuery,
    UpstreamStatus,
    UpstreamStatuses,
    VmAddress,
    VmAddresses,
    VmStatus,
    decode_struct,
    encode_struct,
)
from azureturn.serving import now_ms

_Argument = TypeVar("_Argument")
_Answer = TypeVar("_Answer")


@dataclass(frozen=True)
class OperatorHandler:
    """The handler of one query, and the thrift struct of its argument."""

    argument_type: type[Any]
    answer: Callable[[DaemonContext, Any], Any]


OPERATOR_QUERIES: dict[str, OperatorHandler] = {}


def operator_query(
    name: str, argument_type: type[_Argument]
) -> Callable[
    [Callable[[DaemonContext, _Argument], _Answer]], Callable[[DaemonContext, _Argument], _Answer]
]:
    """Register the decorated function as the handler of an operator query.

    >>> @operator_query("vm.echo", NoArgument)  # doctest: +SKIP
    ... def echo(context, argument):
    ...     return argument
    """

    def register(
        answer: Callable[[DaemonContext, _Argument], _Answer],
    ) -> Callable[[DaemonContext, _Argument], _Answer]:
        OPERATOR_QUERIES[name] = OperatorHandler(argument_type, answer)
        return answer

    return register


def answer_operator(context: DaemonContext, query: OperatorQuery) -> OperatorAnswer:
    """Return the answer to a query, or raise with kind ``not_found`` if its name is unknown."""
    handler = OPERATOR_QUERIES.get(query.name or "")
    if handler is None:
        raise AzureturnError(ErrorKind.NOT_FOUND, "this VM does not support the operator query")
    argument = decode_struct(handler.argument_type, query.argument or b"")
    return OperatorAnswer(answer=encode_struct(handler.answer(context, argument)))


@operator_query("vm.status", NoArgument)
def _vm_status(context: DaemonContext, _argument: NoArgument) -> VmStatus:
    vm = context.settings.vm
    configuration = context.runtime.inspect(
        lambda core: core.board.table(ConfigurationTable).get_active()
    )
    return VmStatus(
        vm=vm.name,
        availability_zone=vm.availability_zone,
        boot_id=context.boot_id,
        version=__version__,
        started_at_unix_ms=context.accounting.service_levels.started_at_unix_ms,
        configuration_revision=configuration.revision,
        configuration_source=configuration.source.value,
        requests_in_progress=context.runtime.requests_in_progress,
        leaving=context.runtime.inspect(lambda core: core.board.table(PeerTable).own_leaving),
    )


@operator_query("vm.peers", NoArgument)
def _vm_peers(context: DaemonContext, _argument: NoArgument) -> VmAddresses:
    """Return the other VMs known to this one, for operators without access to the VM list."""
    peers = context.runtime.inspect(lambda core: list(core.board.table(PeerTable).rows()))
    return VmAddresses(
        vms=[
            VmAddress(
                vm=peer.identity.vm,
                availability_zone=peer.identity.availability_zone,
                host=peer.identity.host,
                # Heartbeats do not carry the port for callers.
                port=0,
                peer_port=peer.identity.peer_port,
                leaving=peer.leaving,
            )
            for peer in peers
        ]
    )


@operator_query("upstream.list", NoArgument)
def _upstream_list(context: DaemonContext, _argument: NoArgument) -> UpstreamStatuses:
    return UpstreamStatuses(upstreams=context.runtime.inspect(_upstream_statuses))


def _upstream_statuses(core: Core) -> list[UpstreamStatus]:
    at_ms = now_ms()
    return [
        _upstream_status(upstream, at_ms) for upstream in core.board.table(UpstreamTable).rows()
    ]


def _upstream_status(upstream: Upstream, at_ms: int) -> UpstreamStatus:
    return UpstreamStatus(
        upstream=upstream.settings.name,
        kind=upstream.settings.kind.value,
        availability_zone=upstream.settings.availability_zone,
        version=upstream.settings.version,
        draining=upstream.settings.draining,
        leaving=upstream.leaving,
        closed=upstream.backoff_until_ms > at_ms,
        outstanding_requests=upstream.outstanding_requests,
        outstanding_tokens=upstream.outstanding_tokens,
    )
