"""Two events that cross: each test forces the bad order over real connections, every time."""
