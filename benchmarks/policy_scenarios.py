"""The scenarios of the policy bench."""

from attrs import evolve

from benchmarks.policy_world import Scenario

MAIN = {'budapest 25x5': (25, 5), 'brittany 30x2': (30, 2)}
SMALL = {'claims 5x5': (5, 5), 'billing 10x2': (10, 2)}
HOME_SETS = (3, 5, 15)
GROWTH = (60, 240)
OVERLOAD_DEADLINE_SECONDS = 0.5
PLAIN_BY_NAME: dict[str, dict] = {
    'quiet': {},
    'noisy': {'noisy': True},
    'noisy for longer': {'noisy': True, 'redraw_share': 0.1},
}
FAULT_BY_NAME: dict[str, dict] = {
    'straggler': {'straggler': True},
    'straggler, no speed': {'straggler': True, 'reports': 'no speed'},
    'noisy, no speed': {'noisy': True, 'reports': 'no speed'},
    'fail fast': {'fail_fast': True},
    'reports missing': {'reports': 'none'},
    'reports idle': {'reports': 'idle'},
    'reports busy': {'reports': 'busy'},
    'reports late': {'report_delay': 0.05},
    'cold start': {'cold_start': True},
    'drain': {'drain': True},
    'three zones': {'zones': 3},
    'instance lost': {'lost_instance': True},
}
LYING = ('reports missing', 'reports idle', 'reports busy', 'reports late')


def make_scenarios() -> list[Scenario]:
    """Return every scenario."""
    scenarios = []
    for size, shape in MAIN.items():
        scenarios.extend(main_scenarios(size, shape))
    for size, shape in SMALL.items():
        for kind in ('quiet', 'noisy'):
            scenarios.append(make(size, shape, 3, 80, kind, PLAIN_BY_NAME[kind]))
    for instances in GROWTH:
        shape = MAIN['brittany 30x2']
        scenarios.append(make('brittany 30x2', shape, instances, 80, 'quiet', {}))
    return scenarios


def main_scenarios(size: str, shape: tuple[int, int]) -> list[Scenario]:
    """Return the scenarios of one size: plain, with faults, and by load."""
    kinds = [(n, 80, kind) for n in HOME_SETS for kind in PLAIN_BY_NAME]
    kinds += [(3, 80, kind) for kind in FAULT_BY_NAME]
    kinds += [(5, 80, kind) for kind in ('noisy, no speed', *LYING)]
    kinds += [(3, load, kind) for load in (50, 95) for kind in ('quiet', 'noisy')]
    fields_by_name = PLAIN_BY_NAME | FAULT_BY_NAME
    scenarios = [make(size, shape, *each, fields_by_name[each[2]]) for each in kinds]
    overload = {'deadline': OVERLOAD_DEADLINE_SECONDS}
    return [*scenarios, make(size, shape, 3, 130, 'overload', overload)]


def make(
    size: str,
    shape: tuple[int, int],
    instances: int,
    load: int,
    kind: str,
    fields: dict,
) -> Scenario:
    """Return one scenario with its name."""
    name = f'{size}, {instances} instances, {load} %, {kind}'
    return evolve(Scenario(name, *shape, instances, load / 100), **fields)
