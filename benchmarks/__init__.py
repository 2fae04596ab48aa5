"""Benchmarks: long runs and measurements that the test suite does not start."""
