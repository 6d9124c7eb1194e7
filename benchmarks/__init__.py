"""Benchmarks: one module for each, run as `python -m benchmarks.NAME`."""
