"""Tests of saltport.standins."""
