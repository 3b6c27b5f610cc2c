"""Forwards callers' requests to upstreams and relays the responses.

An exchange is one request of a caller and its response; it makes one or more attempts, each of
which sends the request once to one upstream.
"""

from azureturn.gateway.exchange._body_budget import BodyBudget
from azureturn.gateway.exchange._connections import (
    CONNECT_TIMEOUT_MS,
    ConnectionPool,
    UpstreamConnection,
)
from azureturn.gateway.exchange._connector import UpstreamConnector
from azureturn.gateway.exchange._server import GatewayServer, StatusPage, StatusServer
from azureturn.gateway.exchange._services import ExchangeServices
from azureturn.gateway.exchange._stated_availability import read_facts
from azureturn.gateway.exchange._status_request import request_status

__all__ = [
    "BodyBudget",
    "CONNECT_TIMEOUT_MS",
    "ConnectionPool",
    "ExchangeServices",
    "GatewayServer",
    "StatusPage",
    "StatusServer",
    "UpstreamConnection",
    "UpstreamConnector",
    "read_facts",
    "request_status",
]
