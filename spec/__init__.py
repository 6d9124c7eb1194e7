"""Specifications of the core protocols, checked by exhaustive search."""
