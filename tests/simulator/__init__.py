"""Tests of saltport.simulator."""
