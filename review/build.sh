#!/bin/bash
# Builds what the cases start besides the program of the deploy file: the stand-ins are Python 3.11, standard library
# only, so they are only compiled here to show errors early.
cd "$(dirname "$0")" || exit 1
python3 -c 'import asyncio, tomllib' || exit 1
python3 -m py_compile standin/standin.py [1-3]/case.py
