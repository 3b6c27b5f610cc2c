"""The controllers; importing this package registers them."""

from azureturn.core.controllers._admission import AdmissionController
from azureturn.core.controllers._configuration import ConfigurationController
from azureturn.core.controllers._dispatch import DispatchController
from azureturn.core.controllers._learning import LearningController
from azureturn.core.controllers._placement import PlacementController
from azureturn.core.controllers._refusals import RefusalController
from azureturn.core.controllers._stragglers import StragglerController

__all__ = [
    "AdmissionController",
    "ConfigurationController",
    "DispatchController",
    "LearningController",
    "PlacementController",
    "RefusalController",
    "StragglerController",
]
