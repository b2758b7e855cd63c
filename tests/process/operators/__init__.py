"""Tests of oleanderbay.process.operators."""
