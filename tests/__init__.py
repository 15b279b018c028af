"""Tests of siskintally."""
