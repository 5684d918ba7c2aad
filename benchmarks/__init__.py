"""What is measured and is no test: each module runs by one command."""
