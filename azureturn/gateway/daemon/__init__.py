"""The gateway process: threads, servers and clients around the controllers and exchanges."""

from azureturn.gateway.daemon._gateway import GatewayDaemon, PlatformAdapter
from azureturn.gateway.daemon._run import run_gateway

__all__ = ["GatewayDaemon", "PlatformAdapter", "run_gateway"]
