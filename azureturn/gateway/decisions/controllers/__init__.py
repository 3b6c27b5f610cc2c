"""The gateway's controllers. Importing this package registers them."""

from azureturn.gateway.decisions.controllers._allotment_admission import (
    AllotmentAdmissionController,
)
from azureturn.gateway.decisions.controllers._allotment_records import (
    AllotmentRecordController,
)
from azureturn.gateway.decisions.controllers._attempts import AttemptController
from azureturn.gateway.decisions.controllers._availability import AvailabilityController
from azureturn.gateway.decisions.controllers._cold_upstreams import ColdUpstreamController
from azureturn.gateway.decisions.controllers._crashes import CrashController
from azureturn.gateway.decisions.controllers._moves import MoveController
from azureturn.gateway.decisions.controllers._paths import PathController
from azureturn.gateway.decisions.controllers._placement import PlacementController
from azureturn.gateway.decisions.controllers._planned_stop import PlannedStopController
from azureturn.gateway.decisions.controllers._processing_limit import ProcessingLimitController
from azureturn.gateway.decisions.controllers._quarantine import QuarantineController
from azureturn.gateway.decisions.controllers._queue_admission import QueueAdmissionController
from azureturn.gateway.decisions.controllers._reachability import ReachabilityController
from azureturn.gateway.decisions.controllers._registry import GATEWAY_CONTROLLERS
from azureturn.gateway.decisions.controllers._reports import ReportController
from azureturn.gateway.decisions.controllers._request_limits import RequestLimitController
from azureturn.gateway.decisions.controllers._speeds import SpeedController
from azureturn.gateway.decisions.controllers._store_calls import StoreCallController
from azureturn.gateway.decisions.controllers._views import ViewController

__all__ = [
    "GATEWAY_CONTROLLERS",
    "AllotmentAdmissionController",
    "AllotmentRecordController",
    "AttemptController",
    "AvailabilityController",
    "ColdUpstreamController",
    "CrashController",
    "MoveController",
    "PathController",
    "PlacementController",
    "PlannedStopController",
    "ProcessingLimitController",
    "QuarantineController",
    "QueueAdmissionController",
    "ReachabilityController",
    "ReportController",
    "RequestLimitController",
    "SpeedController",
    "StoreCallController",
    "ViewController",
]
