"""Stand-ins for the platform and the targets, for development and tests."""
