"""Forwards callers' requests to upstreams and relays the responses."""

from azureturn.gateway.exchange._connections import (
    CONNECT_TIMEOUT_MS,
    ConnectionPool,
    UpstreamConnection,
)
from azureturn.gateway.exchange._server import GatewayServer, StatusPage, StatusServer
from azureturn.gateway.exchange._services import ExchangeServices

__all__ = [
    "CONNECT_TIMEOUT_MS",
    "ConnectionPool",
    "ExchangeServices",
    "GatewayServer",
    "StatusPage",
    "StatusServer",
    "UpstreamConnection",
]
