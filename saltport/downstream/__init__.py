"""The client-facing side: connections of clients, and their answers in order."""
