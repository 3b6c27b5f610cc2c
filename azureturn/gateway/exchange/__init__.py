"""Carries requests to upstreams and answers back to callers."""

from azureturn.gateway.exchange._connections import ConnectionPool
from azureturn.gateway.exchange._server import GatewayServer, ReadinessServer
from azureturn.gateway.exchange._services import ExchangeServices

__all__ = ["ConnectionPool", "ExchangeServices", "GatewayServer", "ReadinessServer"]
