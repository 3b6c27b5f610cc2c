"""The gateway's process: threads around the decisions and the exchanges."""

from azureturn.gateway.daemon._gateway import GatewayDaemon, PlatformAdapter
from azureturn.gateway.daemon._run import run_gateway

__all__ = ["GatewayDaemon", "PlatformAdapter", "run_gateway"]
