"""Tests of oleanderbay.process.groups."""
