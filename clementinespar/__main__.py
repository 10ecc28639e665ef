"""Run the command line with ``python -m clementinespar``."""

from clementinespar import cli

if __name__ == "__main__":
    cli.main()
