"""Two operators change the configuration concurrently, in many rounds:
run_config_race.py BUILD_DIR

Guards against a change that is lost, two changes that are both accepted for
the same version, and a change that takes effect on one entry only."""

import sys
from concurrent.futures import ThreadPoolExecutor

import processes
from api import operate
from cell import Layout, entry_address, local_cell
from faults import config_body

ROUNDS = 30
# Limit in the design document for a change to take effect on all entries, at
# the present size of the deployments.
CONFIG_TIMEOUT_S = 2.0


def config_of(n):
    response = operate(entry_address(n), "GET", "/v1/config")
    assert response.status == 200, response
    return response.body


def change(n, version, team):
    teams = {team: {"max_in_progress": 5, "weight": 1 + version % 7}}
    return operate(entry_address(n), "PUT", "/v1/config",
                   config_body(version, teams=teams))


def check_round(pool, version):
    """Both operators submit a change to the same version; exactly one must be
    accepted."""
    futures = [pool.submit(change, n, version, f"team-{n}") for n in (0, 1)]
    responses = [future.result() for future in futures]
    won = [n for n in (0, 1) if responses[n].status == 200]
    assert len(won) == 1, responses
    lost = responses[1 - won[0]]
    assert lost.status == 409, lost
    assert lost.body["error"]["code"] == "version_conflict", lost
    expected = {f"team-{won[0]}"}
    for n in (0, 1):
        processes.wait_until(
            lambda n=n: config_of(n)["version"] == version + 1,
            CONFIG_TIMEOUT_S, f"version {version + 1} on entry {n}")
        assert set(config_of(n)["teams"]) == expected, config_of(n)


def main(build_dir):
    with local_cell(Layout(build_dir)), ThreadPoolExecutor(2) as pool:
        first = config_of(0)["version"]
        for version in range(first, first + ROUNDS):
            check_round(pool, version)
        print(f"{ROUNDS} rounds, one winner in each")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1]))
