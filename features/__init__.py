"""Behaviour tests and golden sessions."""
