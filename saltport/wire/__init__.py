"""Protocol codecs without I/O: decode bytes into typed messages, and encode messages."""
