import type {TaskRecord} from '@chicoryspring/contracts';
import type {Worker} from '@chicoryspring/workers';
import type {TaskExplanation} from './task_explanation_types.js';
import {WORKER_VERDICT_REGISTRY} from './worker_verdict_registry.js';

const COULD_START = 'could start it now';
const MAX_EXAMPLES = 3;

type Verdicts = TaskExplanation['verdicts'];

/** Explains the state of a task from its record and the known workers. */
export function explainTask(
  record: TaskRecord,
  workers: readonly Worker[],
  domainsOut: readonly string[],
  owner: string,
): TaskExplanation {
  const {
    key: id,
    state,
    worker,
    epoch,
    evictions,
    failedWorkers,
    reason,
  } = record;
  const verdicts =
    state === 'waiting' ? groupVerdicts(record, workers, domainsOut) : [];
  const placed = workers.find(one => one.announcement.worker === worker);
  const failureDomain = placed?.announcement.failureDomain;
  return {
    id,
    state,
    summary: summarize(record, verdicts, failureDomain),
    owner,
    ...(state === 'waiting' ? {} : {worker, failureDomain}),
    epoch,
    evictions,
    failedWorkers,
    reason,
    verdicts,
  };
}

function groupVerdicts(
  record: TaskRecord,
  workers: readonly Worker[],
  domainsOut: readonly string[],
): Verdicts {
  const groups = new Map<string, readonly string[]>();
  for (const worker of workers) {
    const found = WORKER_VERDICT_REGISTRY.find(one =>
      one.applies(record, worker, domainsOut),
    );
    const verdict = found?.verdict ?? COULD_START;
    const known = groups.get(verdict) ?? [];
    groups.set(verdict, [...known, worker.announcement.worker]);
  }
  return [...groups].map(([verdict, names]) => ({
    verdict,
    workers: names.length,
    examples: names.slice(0, MAX_EXAMPLES),
  }));
}

function summarize(
  record: TaskRecord,
  verdicts: Verdicts,
  failureDomain: string | undefined,
): string {
  const {state, worker, epoch, reason} = record;
  const lastReason = reason === undefined ? '' : `; last reason: ${reason}`;
  if (state === 'waiting') return `${whyWaiting(verdicts)}${lastReason}`;
  if (worker === undefined) return `${state}, never placed${lastReason}`;
  const place = `${worker} in ${failureDomain ?? 'an unknown failure domain'}`;
  return `${state}, placed on ${place} as epoch ${epoch}${lastReason}`;
}

function whyWaiting(verdicts: Verdicts): string {
  if (verdicts.length === 0) return 'waits: no worker is known';
  const isStartable = verdicts.some(one => one.verdict === COULD_START);
  const counts = verdicts
    .map(one => `${one.workers} ${one.verdict}`)
    .join(', ');
  const prefix = isStartable ? 'waits for its turn' : 'waits: no worker fits';
  return `${prefix} (workers: ${counts})`;
}
