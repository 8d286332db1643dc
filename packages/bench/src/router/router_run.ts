import {
  ROUTING_POLICY_REGISTRY,
  type RoutingPolicyName,
} from '@chicoryspring/targets';
import type {LoadFigures} from '../load/load_figures_types.js';
import {LoadRecorder} from '../load/load_recorder.js';
import {SeededRandom} from '../random/seeded_random.js';
import {FakeEntry} from './fake_entry.js';
import {FakeTarget} from './fake_target.js';
import type {RouterScenario} from './router_scenario_types.js';

const DOMAINS = ['kinangop', 'ndaragwa', 'kipipiri'];
const TARGETS = 11;
const SLOTS = 8;
const SERVICE_MILLISECONDS = 10;
/** Stages of the Erlang distribution of service times. */
const STAGES = 4;
/** Round trip between two failure domains. */
const CROSSING_MILLISECONDS = 2;
/** Slowdowns by tasks on the same worker, each as likely. */
const SLOWDOWNS = [1, 1, 1, 1.5, 2, 4];
/** Share of the mean capacity that the load takes. */
const UTILIZATION = 0.5;
const WARM_UP_MILLISECONDS = 3_000;
const RUN_MILLISECONDS = 23_000;

/** One run of a policy on fake targets in virtual time. */
export function runRouter(
  name: RoutingPolicyName,
  scenario: RouterScenario,
  seed: number,
): LoadFigures {
  const load = new SeededRandom(seed);
  const random = new SeededRandom(seed + 1);
  const create = ROUTING_POLICY_REGISTRY[name];
  const entries = DOMAINS.map(
    domain =>
      new FakeEntry(
        domain,
        create(() => random.next()),
      ),
  );
  const targets = Array.from({length: TARGETS}, createTarget);
  const recorder = new LoadRecorder();
  let slowdowns: ReadonlyMap<string, number> = new Map();
  let shiftAt = 0;
  for (let now = 0; now < RUN_MILLISECONDS; now += load.exponential(gap())) {
    if (now >= shiftAt) {
      slowdowns = drawSlowdowns(targets, load);
      shiftAt = now + scenario.shiftMilliseconds;
    }
    const entry = load.pick(entries);
    const work = load.erlang(STAGES, SERVICE_MILLISECONDS);
    const {target, isLocal} = entry.route(targets, now);
    const crossing = isLocal ? 0 : CROSSING_MILLISECONDS;
    const service = work * slowdowns.get(target.worker)!;
    const {completedAt} = target.serve(now + crossing / 2, service);
    const seenAt = completedAt + crossing / 2;
    const reportedInFlight = target.inFlightAt(now);
    const latency = seenAt - now;
    const {worker} = target;
    entry.expect({worker, latency, instant: seenAt, reportedInFlight});
    if (now >= WARM_UP_MILLISECONDS) recorder.record(latency, true);
  }
  return recorder.figures(RUN_MILLISECONDS - WARM_UP_MILLISECONDS);
}

function createTarget(_: unknown, position: number): FakeTarget {
  const domain = DOMAINS[position % DOMAINS.length]!;
  return new FakeTarget(`worker-${position + 1}`, domain, SLOTS);
}

/** Mean time between two checks. */
function gap(): number {
  const speeds = SLOWDOWNS.map(slowdown => 1 / slowdown);
  const mean = speeds.reduce((sum, one) => sum + one, 0) / speeds.length;
  const capacity = (TARGETS * SLOTS * mean) / SERVICE_MILLISECONDS;
  return 1 / (capacity * UTILIZATION);
}

function drawSlowdowns(
  targets: readonly FakeTarget[],
  random: SeededRandom,
): ReadonlyMap<string, number> {
  return new Map(
    targets.map(({worker}) => [worker, random.pick(SLOWDOWNS)] as const),
  );
}
