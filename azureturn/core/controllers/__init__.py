"""The controllers of the decision core; importing this package registers them."""

from azureturn.core.controllers._admission import AdmissionController
from azureturn.core.controllers._claim_segments import ClaimSegmentsController
from azureturn.core.controllers._claims import ClaimsController
from azureturn.core.controllers._configuration import ConfigurationController
from azureturn.core.controllers._dispatch import DispatchController
from azureturn.core.controllers._learning import LearningController
from azureturn.core.controllers._membership import MembershipController
from azureturn.core.controllers._move_gossip import MoveGossipController
from azureturn.core.controllers._mover import MoverController
from azureturn.core.controllers._moves import MovesController
from azureturn.core.controllers._placement import PlacementController
from azureturn.core.controllers._refusals import RefusalController
from azureturn.core.controllers._stragglers import StragglerController
from azureturn.core.controllers._work_gossip import WorkGossipController

__all__ = [
    "AdmissionController",
    "ClaimSegmentsController",
    "ClaimsController",
    "ConfigurationController",
    "DispatchController",
    "MembershipController",
    "MoveGossipController",
    "MoverController",
    "MovesController",
    "LearningController",
    "PlacementController",
    "RefusalController",
    "StragglerController",
    "WorkGossipController",
]
