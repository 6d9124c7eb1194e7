"""Load balancer for expert-parallel model groups and the services beside them."""

__version__ = "0.1.0"
