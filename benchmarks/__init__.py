"""Benchmarks, each run by ``scripts/bench NAME``; none of them is a test."""
