"""The policy benchmark: the shipped core against the stand-ins' own model of an engine.

Several VMs, one core each, share the engines of a site. A small event loop carries events and
actions between them in simulated time, so that a run is decided by its seed alone.
"""
