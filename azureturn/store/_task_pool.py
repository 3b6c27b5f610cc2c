"""HTTP connections of urllib3 whose waits suspend the current task, if there is one."""

import socket
from typing import Any

import urllib3
from urllib3.exceptions import ConnectTimeoutError, NewConnectionError

from azureturn._limited_http import LimitedConnection, limited_pool_manager
from azureturn._socket_options import SOCKET_OPTIONS
from azureturn.tasks import TaskSocket


class _TaskConnection(LimitedConnection):
    def _new_conn(self) -> socket.socket:
        connection = TaskSocket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            for level, name, value in SOCKET_OPTIONS:
                connection.setsockopt(level, name, value)
            connection.settimeout(urllib3.Timeout.resolve_default_timeout(self.timeout))
            connection.connect((self.host, self.port))
        except TimeoutError as error:
            connection.close()
            raise ConnectTimeoutError(self, f"connection to {self.host} timed out") from error
        except OSError as error:
            connection.close()
            raise NewConnectionError(self, f"connection to {self.host} failed: {error}") from error
        return connection


class _TaskConnectionPool(urllib3.HTTPConnectionPool):
    ConnectionCls = _TaskConnection


def task_pool_manager(**options: Any) -> urllib3.PoolManager:
    """Return a pool manager that can be used in tasks and on threads; hosts are IPv4 addresses.

    ``options`` are those of urllib3's pool manager.
    """
    return limited_pool_manager(pool_class=_TaskConnectionPool, **options)
