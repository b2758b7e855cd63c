"""Tests of oleanderbay.process.observation."""
