"""Runs the node of the platform."""

from lycheestair.platform import program

program.main()
