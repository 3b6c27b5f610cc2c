"""Benchmark of scheduling policies: the production core against simulated engines.

A policy decides where requests are placed, how much work an upstream may have, in which order
requests are queued and which are refused early. A site is one installation: several VMs, one core
(the decision logic of a VM) each, that share its engines and its workload. A discrete-event loop
passes events and actions between the cores and the engine simulators of ``standins`` in simulated
time, so that a run depends only on its seed.
"""
