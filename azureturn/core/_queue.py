"""The queues before the upstreams of each model or plain service."""

from azureturn.core._requests import Request
from azureturn.framework import RequestQueue, Table


class QueueTable(Table[str, RequestQueue[Request]]):
    """One queue for each model or plain service."""

    def of(self, target: str) -> RequestQueue[Request]:
        """Return the queue of ``target``, made when first asked for."""
        queue = self.get(target)
        if queue is None:
            queue = RequestQueue()
            self.put(target, queue)
        return queue
