"""The request queue of each model or plain service."""

from azureturn.core._requests import Request
from azureturn.framework import RequestQueue, Table


class QueueTable(Table[str, RequestQueue[Request]]):
    """Request queues by target, which is the name of a model or plain service."""

    def of(self, target: str) -> RequestQueue[Request]:
        """Return the queue of ``target``, creating it on first use."""
        queue = self.get(target)
        if queue is None:
            queue = RequestQueue()
            self.put(target, queue)
        return queue
