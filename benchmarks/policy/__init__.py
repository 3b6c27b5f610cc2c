"""Policy benchmark: runs the production core against the engine model of ``standins``.

Several VMs, one core each, share the engines of a site. A discrete-event loop passes events and
actions between them in simulated time, so that a run depends only on its seed.
"""
