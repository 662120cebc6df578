"""Starts a cell, submits one job with curl and prints the job and its
answer."""

import json
import subprocess
import sys

from cell import Layout, entry_address, local_cell

JOB = {
    "team": "north",
    "deadline_ms": 10000,
    "tasks": [
        {"payload": "120 seat 14", "declared_ms": 120},
        {"payload": "80 seat 15", "declared_ms": 80},
        {"payload": "200 seat 16", "declared_ms": 200},
    ],
}


def main(build_dir):
    print("Starting a store, 2 entries, 3 agents and 3 endpoints ...")
    with local_cell(Layout(build_dir)):
        url = f"http://{entry_address(1)}/v1/jobs"
        body = json.dumps(JOB, indent=2)
        print(f"\nPOST {url}\n{body}\n")
        answer = subprocess.run(
            ["curl", "--silent", "--show-error", "--fail", "--max-time", "30",
             "--data", body, url], check=True, capture_output=True, text=True)
        reply = json.loads(answer.stdout)
        print("Answer:\n" + json.dumps(reply, indent=2) + "\n")
        if not reply.get("complete"):
            print('the job did not complete; see "failure" in the answer',
                  file=sys.stderr)
            return 1
    print("All processes have ended.")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1]))
