"""`saltport`: thin verbs over the rooms; each imports what it needs, and no more.

Exit status: 0 all is well; 1 what was asked for went wrong (faults found, an audit not clean, an address
taken); 2 the command line or the configuration can't be used.
"""

from __future__ import annotations

import os
import sys
from collections.abc import Callable, Iterator
from dataclasses import asdict
from pathlib import Path
from typing import TYPE_CHECKING, Any, NoReturn

import click
import orjson

from saltport import __version__

if TYPE_CHECKING:
    from saltport.address import Address

_SHELLS = ("bash", "zsh", "fish")
_FILE = click.Path(dir_okay=False, path_type=Path)
_THERE = click.Path(exists=True, dir_okay=False, path_type=Path)
_WITH = click.option(
    "--with", "with_files", type=_FILE, multiple=True, help="A file of features, as in deploy/."
)
_TOP_KEYS = 10
_AS_JSON = click.option("--json", "as_json", is_flag=True, help="Report as JSON.")


def _dump(fields: Any, indent: bool = False) -> None:
    click.echo(orjson.dumps(fields, option=orjson.OPT_INDENT_2 if indent else None).decode())


def _wrong(text: str, status: int) -> NoReturn:
    click.echo(f"saltport: {text}", err=True)
    sys.exit(status)


class _AddressType(click.ParamType[Any]):
    name = "host:port"

    def convert(self, value: Any, param: click.Parameter | None, ctx: click.Context | None) -> Any:
        from saltport.address import parse_address

        if isinstance(value, tuple):
            return value
        try:
            return parse_address("address", value)
        except ValueError as error:
            self.fail(str(error), param, ctx)


_ADDRESS = _AddressType()


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(__version__, message="%(version)s")
def cli() -> None:
    """A router between build machines and package caches."""


@cli.command()
@click.argument("config", type=_FILE)
@click.option("--listen", metavar="HOST:PORT", help="Where clients connect; goes before the file.")
@click.option("--discovery", metavar="HOST:PORT", help="The registry; goes before the file.")
@click.option("--name", help="This router's name; goes before the file.")
@click.option("--admin", metavar="HOST:PORT", help="Where operators call; goes before the file.")
@_WITH
def run(
    config: Path,
    listen: str | None,
    discovery: str | None,
    name: str | None,
    admin: str | None,
    with_files: tuple[Path, ...],
) -> None:
    """Run a router with this configuration file, until SIGTERM."""
    told = {
        "LB_CONFIG": str(config),
        "LB_LISTEN": listen,
        "LB_DISCOVERY": discovery,
        "LB_NAME": name,
        "LB_ADMIN_ADDR": admin,
    }
    environ = {**os.environ, **{variable: value for variable, value in told.items() if value is not None}}
    # A process of its own image: the router must not carry what the command line needed.
    more = [word for path in with_files for word in ("--with", str(path))]
    os.execve(sys.executable, [sys.executable, "-m", "saltport.router", *more], environ)


ORDER_S = 8.0  # in which an owner answers, or nobody does
_ROUTER = click.argument("router", type=_ADDRESS, metavar="HOST:PORT")


def _ask(router: Address, path: str, method: str = "GET") -> dict[str, Any]:
    from saltport.admin.client import ask

    try:
        return ask(router, path, method=method)
    except (OSError, ValueError) as error:
        _wrong(f"{router[0]}:{router[1]}: {getattr(error, 'strerror', None) or error}", 1)


@cli.command()
@_ROUTER
def stats(router: Address) -> None:
    """Show the figures of the router that operators call here, as JSON."""
    _dump(_ask(router, "/stats"), indent=True)


@cli.command()
@_ROUTER
@click.argument("server")
def maint(router: Address, server: str) -> None:
    """Send nothing more to a cache server, until `saltport ready`."""
    from saltport.admin.client import server_path

    _dump(_ask(router, server_path(server, "maint"), "PUT"))


@cli.command()
@_ROUTER
@click.argument("server")
def ready(router: Address, server: str) -> None:
    """Use a cache server again."""
    from saltport.admin.client import server_path

    _dump(_ask(router, server_path(server, "ready"), "PUT"))


@cli.command()
@_ROUTER
def drain(router: Address) -> None:
    """Empty a router: clients are told to go elsewhere, and their connections close."""
    _dump(_ask(router, "/healthcheck/fail", "PUT"))


@cli.command()
@_ROUTER
def resume(router: Address) -> None:
    """Put a drained router back to work."""
    _dump(_ask(router, "/healthcheck/ok", "PUT"))


@cli.command()
@_ROUTER
@_AS_JSON
def status(router: Address, as_json: bool) -> None:
    """Show the state of the router that operators call here."""
    told = _ask(router, "/state")
    if as_json:
        _dump(told, indent=True)
        return
    state = "drained" if told["draining"] else "ready" if told["ready"] else "not ready"
    click.echo(
        f"{told['name']} (pid {told['pid']}, {told['version']}): {state}, "
        f"{told['owed']} requests open, list generation {told['generation']}: "
        f"{told['caches']} caches, {told['origins']} origins"
    )
    click.echo(f"out by hand: {', '.join(told['out']) or 'none'}")
    lag = told["lag"]
    click.echo(f"longest turn of the loop {lag['longest_ms']:.1f} ms, {lag['stalls']} over 5 ms")
    click.echo("given up: none" if not told["given_up"] else "given up, in 10 s, in 60 s, since the start:")
    for row in told["given_up"]:
        tenant, why = row["name"]
        click.echo(f"  {row['last_10_s']:7} {row['last_60_s']:7} {row['total']:9}  {tenant}: {why}")
    for name, tenant in told["tenants"].items():
        click.echo(
            f"tenant {name}: {tenant['fetches_per_s']:.1f} fetches a second of "
            f"{tenant['rate_limit_per_s']:.1f} allowed "
            f"(at most {tenant['cap_per_s']:.1f}), {tenant['declined']} declined in the window"
        )
    overload = told["overload"]
    state = f"admits {overload['admitted_share']:.0%}" if overload["overloaded"] else "none"
    shed = ", ".join(f"{count} of {name}" for name, count in overload["shed"].items())
    click.echo(
        f"overload: {state if overload['on'] else 'not watched'}; "
        f"loop busy {overload['loop_busy_share']:.0%}, "
        f"what comes lies unread for {overload['loop_delay_ms']:.1f} ms; shed {shed or 'nothing'}"
    )
    limits = told["limits"]
    click.echo(
        f"servers overrun: {limits['crowded_share']:.0%} of reads find their server full, "
        f"{limits['overflowed']} went to another one, {limits['moved']} by their server's weight adjustment"
    )
    for name, server in list(limits["servers"].items())[:_TOP_KEYS]:
        click.echo(
            f"  {name}: {server['out']} out of {server['limit'] or 'no limit'}, "
            f"keeps {server['weight_factor']:.0%}, work {server['work_ms']:.1f} ms, "
            f"waiting {server['waiting_ms']:.1f} ms"
        )
    known = told["peers"]
    if known["on"]:
        standing, view = known["standing"], known["view"]
        click.echo(
            f"peers: {standing['state']} for {standing['for_s']:.0f} s, {view['members']} routers in view "
            f"{view['number']} ({view['digest']}); see saltport peers"
        )
    _hot_keys(told["hot_keys"])
    outliers = told["outliers"]
    panic = "; PANIC: nobody is believed bad" if outliers["panic"] else ""
    click.echo(f"ejected: {outliers['ejected']} of {outliers['listed']}{panic}")
    for name, server in sorted(outliers["servers"].items()):
        click.echo(
            f"  {name}: {server['standing']}{' (kept in)' if server['kept_in'] else ''}"
            f"{', ' + server['reason'] if server['reason'] else ''}, {server['failures_in_a_row']} in a row, "
            f"{server['failures']} of {server['attempts']} failed, {server['ejections']} ejections, "
            f"{server['ejected_for_s']:.1f} s to go"
        )


@cli.command()
@_ROUTER
@click.option("--settle", is_flag=True, help="First take the present view as the yardstick of majorities.")
@_AS_JSON
def peers(router: Address, settle: bool, as_json: bool) -> None:
    """Show what a router believes of the other routers: who is alive, who is heard, where it stands."""
    from saltport.peers.words import lines

    if settle:
        _ask(router, "/peers/settle", "PUT")
    _show("peers", _ask(router, "/peers"), lines, as_json)


@cli.command()
@_ROUTER
@click.option("--step-down", is_flag=True, help="Hand the lead to the voter that is most up to date.")
@click.option("--transfer", metavar="VOTER", help="Hand the lead to this voter.")
@click.option("--may", metavar="PIECE", help="Status 0 and the epoch if this router may work on it, else 1.")
@_AS_JSON
def owners(router: Address, step_down: bool, transfer: str | None, may: str | None, as_json: bool) -> None:
    """Show who owns which of the fleet's work, with epochs and leases."""
    from saltport.admin.client import voter_path
    from saltport.owners.words import lines

    if step_down:
        _ask(router, "/owners/step-down", "PUT")
    if transfer is not None:
        _ask(router, voter_path(transfer), "PUT")
    told = _ask(router, "/owners")
    if may is not None:
        epoch = told.get("holds", {}).get(may)
        click.echo("no" if epoch is None else epoch)
        sys.exit(epoch is None)
    _show("owners", told, lines, as_json)


@cli.command()
@_ROUTER
@_AS_JSON
def zones(router: Address, as_json: bool) -> None:
    """Show where reads go by zones, by which plan, and what its owner sees."""
    from saltport.failover.words import lines

    _show("failover", _ask(router, "/zones"), lines, as_json)


def _ordered(router: Address, path: str, wait_s: float) -> None:
    """Give an order and wait for the owner's answer; status 1: it was refused, or none came."""
    import time

    number = str(_ask(router, path, "PUT")["order"])
    end = time.monotonic() + ORDER_S
    while (answer := _ask(router, "/zones")["orders"].get(number)) is None:
        if time.monotonic() > end:
            _wrong("no answer of the owner", 1)
        time.sleep(0.1)
    if answer != "done":
        _wrong(answer, 1)
    time.sleep(wait_s)
    click.echo("done")


_OVER = click.option(
    "--over",
    default=30.0,
    show_default=True,
    type=click.FloatRange(0, 3600),
    help="Seconds that it may take.",
)
_WAIT = click.option("--wait", is_flag=True, help="Until the way is over, not only until it has begun.")


@cli.command()
@_ROUTER
@click.argument("zone")
@_OVER
@click.option("--force", is_flag=True, help="Also where the others have no room for all.")
@_WAIT
def evacuate(router: Address, zone: str, over: float, force: bool, wait: bool) -> None:
    """Send no reads to a zone any more, at all routers, until `saltport return`."""
    from saltport.admin.client import zone_path

    _ordered(router, zone_path(zone, "evacuate", over, force), over if wait else 0.0)


@cli.command("return")
@_ROUTER
@click.argument("zone")
@_OVER
@_WAIT
def return_(router: Address, zone: str, over: float, wait: bool) -> None:
    """Send reads to an evacuated zone again, step by step."""
    from saltport.admin.client import zone_path

    _ordered(router, zone_path(zone, "return", over, False), over if wait else 0.0)


@cli.command()
@_ROUTER
@click.argument("what", type=click.Choice(["freeze", "thaw"]))
def failover(router: Address, what: str) -> None:
    """Freeze the plan as it is, whatever the evidence says, or thaw it."""
    _ordered(router, f"/failover/{what}", 0.0)


def _show(
    part: str, told: dict[str, Any], lines: Callable[[dict[str, Any]], Iterator[str]], as_json: bool
) -> None:
    """Show the report of a part that may be off."""
    if as_json:
        _dump(told, indent=True)
    else:
        click.echo("\n".join(lines(told)) if told["on"] else f"{part}: off")


def _hot_keys(told: dict[str, Any]) -> None:
    if not told["on"]:
        click.echo("hot keys: not told apart")
        return
    voids = told["voids"]
    counts = {what: count for what, count in told["counts"].items() if what != "spread"}
    click.echo(
        f"hot keys: {told['replicated']} replicated, {told['watched']} watched, "
        f"{sum(told['counted'].values())} counted; {told['copied_bytes']} bytes of further copies, "
        f"filled by {told['fill']}; voids {voids['under_way']} under way, {voids['in_doubt']} in doubt; "
        f"{', '.join(f'{count} {what}' for what, count in counts.items()) or 'nothing done yet'}"
    )
    for key in told["top"][:_TOP_KEYS]:
        share = f", {key['share']:.1%} of all" if key["share"] is not None else ""
        held = f", {key['held']} of {key['copies']} nodes" if key["copies"] > 1 else ""
        why = f" ({'cooling; ' if key['releasing'] else ''}{key['why']})" if key["why"] else ""
        click.echo(
            f"  {key['key']}: {key['reads_per_s']:.1f} (+{key['error_per_s']:.1f}) reads a second "
            f"of {key['tenant']}{share}{held}{why}"
        )


@cli.command()
@click.argument("config", type=_FILE)
@_WITH
@_AS_JSON
def check(config: Path, with_files: tuple[Path, ...], as_json: bool) -> None:
    """Tell every fault of a configuration file, with its path in the file. Status 1 if there is any."""
    from saltport.router.check import check_file

    faults = check_file(config, with_files)
    if as_json:
        _dump({"ok": not faults, "faults": [asdict(fault) for fault in faults]})
    else:
        for fault in faults:
            click.echo(f"{config}: {fault}")
        count = f"{len(faults)} fault{'s' * (len(faults) != 1)}"
        click.echo(f"{config}: {count if faults else 'good'}")
    sys.exit(bool(faults))


@cli.group()
def config() -> None:
    """Help with configuration files."""


@config.command()
@click.option("--listen", default="127.0.0.1:6379", show_default=True)
@click.option("--discovery", default="127.0.0.1:8500", show_default=True)
@click.option("--name", default="r1", show_default=True)
@click.option("--routers", default=1, show_default=True, type=click.IntRange(1))
def example(listen: str, discovery: str, name: str, routers: int) -> None:
    """Print a whole configuration to start from."""
    from saltport.standins.profile import Profile

    _dump(Profile().config(name, listen, discovery, routers), indent=True)


@cli.command()
@click.option("--seconds", type=click.FloatRange(0, min_open=True), help="End by itself; else at Ctrl-C.")
@click.option("--nodes", default=6, show_default=True, type=click.IntRange(1, 500))
@click.option("--routers", default=1, show_default=True, type=click.IntRange(1, 50))
@click.option("--rate", default=60.0, show_default=True, type=click.FloatRange(0, min_open=True))
@click.option("--fault", metavar="NAME", help="A fault that strikes now and then; see `saltport fault list`.")
@click.option("--seed", default=1, show_default=True)
@_AS_JSON
def demo(**told: Any) -> None:
    """Stand-ins, a router and light load on loopback, with nothing else to set up."""
    import uvloop

    from saltport.demo import DemoOptions, run_demo
    from saltport.harness import HarnessError
    from saltport.standins.faults import FaultError, checked

    options = DemoOptions(**told)
    try:
        if options.fault is not None:
            checked(options.fault, {})
        status = uvloop.run(run_demo(options, lambda line: click.echo(line, err=True)))
    except FaultError as error:
        _wrong(str(error), 2)
    except (HarnessError, OSError) as error:
        _wrong(str(error), 1)
    except KeyboardInterrupt:
        status = 1
    sys.exit(status)


@cli.command()
@click.option("--router", "routers", type=_ADDRESS, multiple=True, required=True, help="May be given again.")
@click.option("--rate", "steps", default="100", show_default=True, help="RATE, or RATE,SECONDS:RATE,...")
@click.option("--seconds", default=10.0, show_default=True, type=click.FloatRange(0, min_open=True))
@click.option(
    "--closed", default=0, type=click.IntRange(0), help="Closed loop: so many clients, one after another."
)
@click.option("--keys", default=2000, show_default=True, type=click.IntRange(1))
@click.option("--zipf", default=1.0, show_default=True, type=click.FloatRange(0))
@click.option(
    "--scan", default=0.0, show_default=True, type=click.FloatRange(0, 1), help="Share of once-only keys."
)
@click.option(
    "--hot", default=0.0, show_default=True, type=click.FloatRange(0, 1), help="Share of one hot key."
)
@click.option("--hot-from", default=0.0, show_default=True, help="Seconds from which it is hot.")
@click.option("--hot-until", default=1e9, help="Seconds until which it is hot.")
@click.option(
    "--hot-every", default=0.0, help="Seconds that it is hot and then not, in turn; 0: all the while."
)
@click.option("--retries", default=2, show_default=True, type=click.IntRange(0))
@click.option("--seed", default=1, show_default=True)
@click.option("--plot", is_flag=True, help="Draw the run over time.")
@click.option("--ledger", type=_FILE, help="Write the clients' ledger, for `saltport audit`.")
@_AS_JSON
def load(
    routers: tuple[Address, ...],
    steps: str,
    closed: int,
    plot: bool,
    ledger: Path | None,
    as_json: bool,
    **told: Any,
) -> None:
    """Drive load at routers; open loop, and each latency counts from the intended start."""
    import uvloop

    from saltport.load import report
    from saltport.load.driver import LoadDriver
    from saltport.load.plan import LoadPlan, PlanError, parse_steps
    from saltport.standins.ledger import Ledger
    from saltport.standins.profile import Profile

    try:
        plan = LoadPlan(parse_steps(steps), **told)
        held = Ledger("clients", ledger)
    except (PlanError, OSError) as error:
        _wrong(str(error), 2)

    async def drive() -> dict[str, Any]:
        named = {f"r{number + 1}": address for number, address in enumerate(routers)}
        driver = LoadDriver(plan, Profile(), named, held, closed)
        return await driver.run(lambda line: click.echo(line, err=True))

    try:
        summary = uvloop.run(drive())
    except KeyboardInterrupt:
        _wrong("ended before its time", 1)
    finally:
        held.close()
    if as_json:
        _dump(summary)
    else:
        click.echo(report.table(summary))
    if plot:
        click.echo(report.plot(summary), err=as_json)
    sys.exit(not summary["served"])


@cli.command()
@click.option("--nodes", default=8, show_default=True, type=click.IntRange(1))
@click.option(
    "--router", "routers", multiple=True, default=("r1",), help="A router's name; one registry each."
)
@click.option("--control", default=0, help="The control socket's port; 0: any.")
@click.option("--seed", default=1, show_default=True)
@click.option("--ledger", type=_FILE, help="Write the fleet's ledger.")
def standins(nodes: int, routers: tuple[str, ...], control: int, seed: int, ledger: Path | None) -> None:
    """Run a fleet of stand-ins; the first line tells the addresses as JSON."""
    import uvloop

    from saltport.standins.__main__ import serve
    from saltport.standins.ledger import Ledger
    from saltport.standins.profile import Profile

    try:
        uvloop.run(serve(nodes, list(routers), seed, control, Ledger("fleet", ledger), Profile()))
    except OSError as error:
        _wrong(str(error), 1)


@cli.group()
def fault() -> None:
    """Faults on a running fleet of stand-ins, through its control socket."""


_CONTROL = click.option("--control", type=_ADDRESS, required=True, help="The fleet's control socket.")


def _call(control: Address, do: str, **fields: Any) -> None:
    import asyncio

    from saltport.standins.control import ControlClient
    from saltport.standins.faults import FaultError

    async def call() -> dict[str, Any]:
        client = await ControlClient.connect(control)
        try:
            return await client.call(do, **fields)
        finally:
            await client.close()

    try:
        _dump(asyncio.run(call()), indent=True)
    except FaultError as error:
        _wrong(str(error), 2)
    except OSError as error:
        _wrong(f"{control[0]}:{control[1]}: {error.strerror or error}", 1)


@fault.command("list")
@_AS_JSON
def list_faults(as_json: bool) -> None:
    """Name every fault there is."""
    from saltport.standins.faults import KINDS

    if as_json:
        _dump({name: {"target": kind.target, "about": kind.about} for name, kind in KINDS.items()})
    else:
        for name, kind in KINDS.items():
            click.echo(f"{name:14} {kind.target:9} {kind.about}")


@fault.command()
@_CONTROL
@click.argument("kind")
@click.argument("target", default="")
@click.option("--figure", "figures", multiple=True, metavar="NAME=VALUE", help="May be given again.")
def strike(control: Address, kind: str, target: str, figures: tuple[str, ...]) -> None:
    """Begin a fault now."""
    told: dict[str, Any] = {}
    for figure in figures:
        name, sign, value = figure.partition("=")
        if not sign:
            _wrong(f"--figure: expected NAME=VALUE, got {figure!r}", 2)
        try:
            told[name] = float(value)
        except ValueError:
            told[name] = value
    _call(control, "strike", kind=kind, target=target, figures=told)


@fault.command()
@_CONTROL
@click.argument("target")
def mend(control: Address, target: str) -> None:
    """End the fault of a target."""
    _call(control, "mend", target=target)


@fault.command()
@_CONTROL
@click.option("--seed", default=1, show_default=True)
@click.option("--seconds", default=30.0, show_default=True, type=click.FloatRange(0, min_open=True))
@click.option("--kind", "kinds", multiple=True, help="Only these kinds; may be given again.")
def play(control: Address, seed: int, seconds: float, kinds: tuple[str, ...]) -> None:
    """Play a seeded schedule of faults, from now."""
    _call(control, "play", seed=seed, seconds=seconds, kinds=list(kinds))


@fault.command()
@_CONTROL
def state(control: Address) -> None:
    """Tell how every stand-in is."""
    _call(control, "state")


@cli.command()
@click.option("--routers", default=6, show_default=True, type=click.IntRange(2, 60))
@click.option("--seed", default=1, show_default=True, help="Of the links, and of a drawn schedule.")
@click.option("--schedule", type=_FILE, help="Acts in TOML; else they are drawn by the seed.")
@click.option("--seconds", default=60.0, show_default=True, type=click.FloatRange(10), help="Of a drawn one.")
@click.option("--rate", default=0.0, show_default=True, help="Requests a second beside it, audited.")
@click.option(
    "--voters", default="0", show_default=True, type=click.Choice(["0", "3", "5"]), help="Of owners."
)
@click.option("--zones", is_flag=True, help="Zones by common plans, and zones that are lost; takes voters.")
@click.option("--plot", is_flag=True, help="Draw how long deaths took to be known.")
@_AS_JSON
def nemesis(
    routers: int,
    seed: int,
    schedule: Path | None,
    seconds: float,
    rate: float,
    voters: str,
    zones: bool,
    plot: bool,
    as_json: bool,
) -> None:
    """Start routers that know one another, break the links between them, stop and kill them, and judge."""
    import signal
    import tempfile

    import uvloop

    from saltport.harness import HarnessError
    from saltport.nemesis.runner import Nemesis, NemesisError, run_nemesis
    from saltport.nemesis.schedule import ScheduleError, draw_schedule, read_schedule
    from saltport.standins.fleet import ZONES

    names = [f"r{number + 1}" for number in range(routers)]
    if int(voters) > routers:
        _wrong(f"--voters: there are {routers} routers only", 2)
    if zones and voters == "0":
        _wrong("--zones: takes --voters", 2)
    places = ZONES if zones else ()
    try:
        acts = (
            read_schedule(schedule, names, places or ("none",))
            if schedule
            else draw_schedule(seed, names, seconds, zones=places)
        )
    except ScheduleError as error:
        _wrong(str(error), 2)
    try:
        # Danger: ended by SIGTERM as it is, this process would leave its routers running.
        signal.signal(signal.SIGTERM, signal.default_int_handler)
        with tempfile.TemporaryDirectory(prefix="saltport-nemesis-") as folder:
            nodes = 30 if zones else 2
            run = Nemesis(Path(folder), routers, seed, nodes, int(voters), failover=zones)
            report = uvloop.run(run_nemesis(run, acts, lambda line: click.echo(line, err=True), rate))
    except (HarnessError, NemesisError, OSError) as error:
        _wrong(str(error), 1)
    except KeyboardInterrupt:
        _wrong("ended before its time", 1)
    which = f"--schedule {schedule}" if schedule else f"--seconds {seconds:g}"
    if plot and report["detections_s"]:
        from saltport.load.report import histogram

        click.echo(histogram(report["detections_s"], "seconds until all knew of a death"), err=as_json)
    report["repeat"] = (
        f"saltport nemesis --routers {routers} --seed {seed} {which} --rate {rate:g} --voters {voters}"
        f"{' --zones' * zones}"
    )
    _dump(report, indent=not as_json)
    click.echo(f"{'clean' if report['clean'] else 'BROKEN'}; again: {report['repeat']}", err=True)
    sys.exit(not report["clean"])


@cli.command()
@click.argument("ledgers", type=_THERE, nargs=-1, required=True)
@click.option("--slack-ms", default=50, show_default=True, type=click.IntRange(0))
@_AS_JSON
def audit(ledgers: tuple[Path, ...], slack_ms: int, as_json: bool) -> None:
    """Prove the four rules over a run from its ledgers. Status 1 if one was broken."""
    from saltport.audit import AuditError, Limits, merge
    from saltport.audit import audit as prove
    from saltport.standins.ledger import read_ledger
    from saltport.standins.profile import Profile

    try:
        records = merge(read_ledger(path) for path in ledgers)
        verdict = prove(records, Profile(), Limits(slack_ms, slack_ms, slack_ms, slack_ms))
    except (AuditError, orjson.JSONDecodeError, KeyError, TypeError) as error:
        _wrong(f"no ledgers of one run: {error}", 2)
    if as_json:
        _dump(verdict.as_json())
    else:
        for violation in verdict.violations:
            click.echo(f"{violation.rule}: {violation.what}")
        cases = ", ".join(f"{rule} {count}" for rule, count in verdict.checked.items())
        click.echo(f"{'clean' if verdict.clean else f'{len(verdict.violations)} violations'}; cases: {cases}")
    sys.exit(not verdict.clean)


@cli.command()
@click.argument("shell", type=click.Choice(_SHELLS))
def completion(shell: str) -> None:
    """Print what a shell needs to complete `saltport`; `source` it."""
    from click.shell_completion import get_completion_class

    found = get_completion_class(shell)
    assert found is not None
    click.echo(found(cli, {}, "saltport", "_SALTPORT_COMPLETE").source())


def main() -> None:
    """The console script."""
    cli(prog_name="saltport")
