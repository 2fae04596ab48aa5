"""Generates a load, in one process or several."""

from __future__ import annotations

import multiprocessing
import resource
from concurrent.futures import ProcessPoolExecutor
from dataclasses import replace
from random import Random

import trio

from walkloom.lab.load.connection import LoadConnection
from walkloom.lab.load.options import LoadOptions
from walkloom.lab.load.phases import draw_arrivals
from walkloom.lab.load.report import LoadReport

RESERVED_DESCRIPTORS = 64  # of a process, for everything but connections of the load
SEED_BITS = 64  # the size of a request id on the wire


def run(options: LoadOptions) -> LoadReport:
    """Generate a load; blocks until its last connection has ended."""
    total = LoadReport()
    if options.processes == 1:
        total.add(_run_process(options, 0))
        return total
    processes = range(options.processes)
    with ProcessPoolExecutor(options.processes, multiprocessing.get_context("spawn")) as pool:
        for report in pool.map(_run_process, [options] * options.processes, processes):
            total.add(report)
    return total


def _run_process(options: LoadOptions, process: int) -> LoadReport:
    _, hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard_limit, hard_limit))
    process_limit = options.max_connections // options.processes
    max_connections = min(process_limit, hard_limit - RESERVED_DESCRIPTORS)
    return trio.run(generate_load, replace(options, max_connections=max_connections), process)


async def generate_load(options: LoadOptions, process: int = 0) -> LoadReport:
    """Generate the share of a load that falls to one process, on the caller's event loop."""
    report = LoadReport()
    random = Random(f"{options.seed}/{process}")
    limiter = trio.CapacityLimiter(options.max_connections)
    started_at_s = trio.current_time()
    start_cpu_s = _cpu_s()
    async with trio.open_nursery() as nursery:
        for arrival_offset_s in draw_arrivals(options.phases, 1.0 / options.processes, random):
            due_at_s = started_at_s + arrival_offset_s
            await trio.sleep_until(due_at_s)
            report.arrivals += 1
            report.lateness.add((trio.current_time() - started_at_s - arrival_offset_s) * 1000.0)
            borrower = object()
            try:
                limiter.acquire_on_behalf_of_nowait(borrower)
            except trio.WouldBlock:
                report.skipped += 1
                continue
            connection = LoadConnection(options, report, random.getrandbits(SEED_BITS), due_at_s)
            nursery.start_soon(_run_connection, connection, limiter, borrower)
        await trio.sleep_until(started_at_s + options.duration_s)
        report.cpu_share = (_cpu_s() - start_cpu_s) / max(trio.current_time() - started_at_s, 1e-9)
    return report


async def _run_connection(
    connection: LoadConnection, limiter: trio.CapacityLimiter, borrower: object
) -> None:
    try:
        await connection.run()
    finally:
        limiter.release_on_behalf_of(borrower)


def _cpu_s() -> float:
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime
