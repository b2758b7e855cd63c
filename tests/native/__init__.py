"""Tests of oleanderbay.native."""
