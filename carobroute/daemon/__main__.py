"""Run the daemon as `python -m carobroute.daemon`."""

from carobroute.daemon import main

if __name__ == "__main__":
    main()
