"""Tests of saltport.router."""
