"""Tests of catkinslip."""
