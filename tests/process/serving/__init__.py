"""Tests of oleanderbay.process.serving."""
