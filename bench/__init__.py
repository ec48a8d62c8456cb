"""Benchmarks, soak tests and the demo. Speed is reported here and never asserted in CI."""
