"""Tests of saltport.decisions."""
