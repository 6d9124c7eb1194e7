"""Run the command-line tool as `python -m carobroute.cli`."""

from carobroute.cli import main

if __name__ == "__main__":
    main()
