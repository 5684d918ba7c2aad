"""Many processes of the program through faulty links on a seeded schedule; their history; its checkers."""
