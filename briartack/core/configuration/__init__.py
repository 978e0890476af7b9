"""Validation, acceptance and activation of configuration versions."""
