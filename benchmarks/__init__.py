"""Benchmarks: each prints what it measured; none has a bound on time that can fail."""
