"""The controllers; importing this package registers them."""

from azureturn.core.controllers._admission import AdmissionController
from azureturn.core.controllers._claim_segments import ClaimSegmentsController
from azureturn.core.controllers._claims import ClaimsController
from azureturn.core.controllers._configuration import ConfigurationController
from azureturn.core.controllers._dispatch import DispatchController
from azureturn.core.controllers._placement import PlacementController

__all__ = [
    "AdmissionController",
    "ClaimSegmentsController",
    "ClaimsController",
    "ConfigurationController",
    "DispatchController",
    "PlacementController",
]
