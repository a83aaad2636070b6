"""Case 1: a planner that takes over the proxies of a killed one publishes no removal any more.

Times are seconds after the start. TROUBLE=0 leaves out the kill.
"""

import asyncio
import os
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standin"))
import platform_standin as standin

ZONES = ["san-jose", "heredia", "alajuela", "cartago"]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# valle-lending: 2,200 to 2,900 lines a second, a backlog of 1.5 s of them, 4 lines a message; DAYS.md: two planners steer
# 400 proxies on one day, and all of them may come to one planner.
RATE, PROXIES, SERVERS = 2500.0, 400, 30
SETTINGS = {
    "balancers": 2,
    "classes": [
        {"name": "title-search", "share": 0.49, "aimS": 0.75, "credit": 1.0, "hardLimitS": 2.5, "lateWorth": 0.1,
         "repeat": "repeatable", "group": "all", "windowS": 5.0},
        {"name": "my-shelf", "share": 0.31, "aimS": 1.2, "credit": 1.0, "hardLimitS": 4.0, "lateWorth": 0.1,
         "repeat": "repeatable", "group": "all", "windowS": 5.0},
        {"name": "loan-checkout", "share": 0.2, "aimS": 0.5, "credit": 2.0, "hardLimitS": 1.5, "lateWorth": 0.1,
         "repeat": "once", "group": "all", "windowS": 5.0}],
    "familyInfo": {"backlog": 1.5 * RATE, "channelRate": RATE, "overhead": 4.0, "proxies": PROXIES, "ranges": 0,
                   "levelKind": "none", "choice": "pair", "defaultSize": 6, "failsToEject": 3, "hearsPerS": 60.0,
                   "localFirst": True, "lateMostS": 0.6, "transitS": 0.25, "periodS": 1.0, "reloadsMax": 0,
                   "messagesOverS": 10.0, "retryDefault": 1, "tryAims": 1.2, "unservedMaxS": 2.8,
                   "classWrites": [False, False, True], "homeOnly": [False, False, False], "exclusive": False},
    "flavors": ["two-core", "four-core"],
    "limits": {"probing": True, "peers": False},
    "registryMode": "automatic",
    "rules": {"coldFrom": 0.16, "drainGraceS": 2.0, "fallMultiple": 4.0, "fallS": 2.0, "warmAfterS": 15.0},
    "stats": {"fields": ["q", "lat_ms"], "how": "answers"},
    "weightSource": "rough", "worthBy": "request", "zones": ZONES,
}
LIMITS = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}


async def scenario(world):
    await world.add_servers(SERVERS, ZONES)
    await world.start_planners(["san-jose", "heredia"])
    first, second = world.planners
    homes = [(ZONES[number % 4], first if number % 2 == 0 else second) for number in range(PROXIES)]
    world.start_proxies(homes, 200.0 / PROXIES)
    begin = world.record.now()
    await world.until(begin + 8)
    if TROUBLE:
        world.record.say("planner n2 is killed; its proxies dial n1 within 0.58 to 2.2 s")
        await second.stop(signal.SIGKILL)
    kill = world.record.now()
    # Valle-lending 2.7: a killed planner is back after 2.2 to 8.6 s.
    await world.until(kill + 5)
    joined = sum(1 for proxy in world.proxies if proxy.planner is first)
    replaced = [world.servers[f"s-{number:02d}"] for number in range(1, 13)]
    world.record.say(f"{joined} proxies are joined to n1; a deploy replaces {len(replaced)} of {SERVERS} servers in 4 steps")
    steps = [world.spawn(deploy_step(world, replaced[step::4], step * 0.8)) for step in range(4)]
    await world.until(kill + 8.6)
    if TROUBLE:
        # The site lets its proxies go back 0 to 15 s later; here they stay joined to n1.
        await second.start()
    for seconds in (11, 13, 15, 17, 19):
        await world.until(kill + seconds)
        held = sum(1 for server in replaced for _ in world.holders(server.name))
        failed = world.requests - world.open_requests - world.outcomes["ok"]
        world.record.say(f"{seconds - 5} s after the first drain: {held} table entries of removed servers at proxies, "
                         f"{failed} requests without service so far")
    for step in steps:
        await step


async def deploy_step(world, servers, delay):
    await asyncio.sleep(delay)
    await asyncio.gather(*(world.replace(server, 2.0) for server in servers))


standin.main(pathlib.Path(__file__).resolve().parent, scenario, SETTINGS, LIMITS, seed=38)
