"""Tests of oleanderbay.process.permits."""
