"""Numbered result codes and the exception tree."""
