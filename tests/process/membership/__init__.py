"""Tests of oleanderbay.process.membership."""
