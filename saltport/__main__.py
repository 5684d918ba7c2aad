"""Entry point of the command line, `python -m saltport`; `python -m saltport.router` runs only a router."""

from saltport.cli import main

if __name__ == "__main__":
    main()
