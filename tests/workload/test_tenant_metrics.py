import asyncio

from poplaryard.tenants_cli import collect, parse
from tests.workload.builders import job, step, tenants
from tests.workload.test_owner import JOB, OwnerFixture, until


def figures(owner):
    return collect(parse(owner._meters.text().decode()))


def test_owner_shows_tenants_figures_until_it_gives_the_group_up():
    """Guards against figures of a partition at a process that no longer owns it."""

    async def run():
        fixture = OwnerFixture()
        for sim in fixture.sims.values():
            sim.stalled = True
        owner = await fixture.claim()
        await owner.start(fixture.infos())
        owner.partition.configure_tenants(tenants(a=3.0))
        await fixture.store(job(JOB, step(40, cpu=2000), tenant="a"))
        # Figures are written every 2 s.
        await until(lambda: "a" in figures(owner), 5.0)
        found = figures(owner)["a"]
        assert found.figures["weight"] == 3.0
        assert found.figures["used_cpu_m"] + found.figures["waiting_cpu_m"] > 0
        fixture.close()
        assert not figures(owner)

    asyncio.run(run())
