"""Tests of saltport.load."""
