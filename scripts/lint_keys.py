#!/usr/bin/env python3
"""Prints for each source file a key of all that the linter's verdict on it depends on.

Usage: lint_keys.py BUILD_DIRECTORY FILE...
Output: one line "KEY FILE" a file, in the order given. KEY is a SHA-256 of the file, of all
headers that it was built with, of its compile command, of .clang-tidy and of the linter's
version; "-" if the build has no record of the file's headers.
"""
import hashlib
import json
import os
import shlex
import subprocess
import sys

build = os.path.abspath(sys.argv[1])
root = os.getcwd()
digests = {}


def digest_of(path):
    if path not in digests:
        with open(path, "rb") as file:
            digests[path] = hashlib.sha256(file.read()).hexdigest()
    return digests[path]


def read_headers():
    """Returns the headers of each object, as the build has recorded them."""
    listed = subprocess.run(["ninja", "-C", build, "-t", "deps"], capture_output=True, text=True)
    headers = {}
    current = []
    for line in listed.stdout.splitlines():
        if line.startswith("    "):
            current.append(line.strip())
        elif ": #deps" in line:
            current = []
            # a record that is older than its object is not used
            if "(VALID)" in line:
                headers[line.split(":")[0]] = current
    return headers


with open(os.path.join(build, "compile_commands.json"), encoding="utf-8") as file:
    commands = {os.path.relpath(each["file"], root): each["command"] for each in json.load(file)}
headers = read_headers()
version = subprocess.run(["clang-tidy", "--version"], capture_output=True, text=True).stdout
rules = digest_of(".clang-tidy")

for name in sys.argv[2:]:
    command = commands.get(name, "")
    words = shlex.split(command)
    used = headers.get(words[words.index("-o") + 1]) if "-o" in words else None
    if used is None:
        print("-", name)
        continue
    key = hashlib.sha256()
    # checkouts in other folders give the same verdict
    key.update(command.replace(root, ".").encode())
    key.update((version + rules + digest_of(name)).encode())
    for header in sorted(used):
        path = os.path.join(build, header)
        key.update((os.path.relpath(path, root) if path.startswith(root) else path).encode())
        key.update(digest_of(path).encode())
    print(key.hexdigest(), name)
