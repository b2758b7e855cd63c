"""Tests of oleanderbay.process.configuration."""
