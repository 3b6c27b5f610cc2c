"""Benchmarks, run by ``scripts/bench NAME``; the test suite does not run them."""
