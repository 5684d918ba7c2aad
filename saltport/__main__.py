"""`python -m saltport` is the command line; a router alone is `python -m saltport.router`."""

from saltport.cli import main

if __name__ == "__main__":
    main()
