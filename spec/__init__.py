"""Specifications of the core protocols, checked with minicheck."""
