"""General-purpose data structures and estimators; they do not depend on requests or routing."""
