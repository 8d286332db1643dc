import {TaskName} from '@chicoryspring/contracts';
import type {WorkerView} from '../fleet/worker_view_types.js';
import {RunFit} from './run_fit.js';
import type {RunPlacementPolicy} from './run_placement_policy_types.js';
import type {RunRequest} from './run_request_types.js';

/** Share of its commitment that a lasting run is expected to use. */
const LASTING_USE = 0.6;
/** Least share of its processors that a filling run should find idle. */
const LEAST_FILLING_SHARE = 0.5;
/** Processors that a worker with the data of the step is worth. */
const DATA_RACK_WORTH = 1_000;
/** Processors that each other run of a lasting step there costs. */
const SPREAD_COST = 4;

/**
 * Prefers the worker with the most idle processors.
 *
 * Filling runs look at what the others leave unused, other runs at what is
 * uncommitted. Lasting runs of one step are spread, so that one worker's loss
 * takes few of them.
 */
export class IdleRunPlacementPolicy implements RunPlacementPolicy {
  choose(
    request: RunRequest,
    workers: readonly WorkerView[],
  ): WorkerView | undefined {
    let best: WorkerView | undefined;
    let bestWorth = -Infinity;
    for (const view of workers) {
      if (!RunFit.isAllowed(request, view)) continue;
      if (!RunFit.hasRoom(request, view)) continue;
      const worth = worthOf(request, view);
      if (worth === undefined || worth <= bestWorth) continue;
      best = view;
      bestWorth = worth;
    }
    return best;
  }
}

/** Undefined when a filling run would find too little there. */
function worthOf(request: RunRequest, view: WorkerView): number | undefined {
  const {step, name} = request.task;
  const near = step.dataRack && view.worker.labels.includes(step.dataRack);
  const bonus = near ? DATA_RACK_WORTH : 0;
  if (step.isFilling) {
    const idle = idleProcessors(view);
    const needed = step.resources.processors * LEAST_FILLING_SHARE;
    return idle < needed ? undefined : idle + bonus;
  }
  const beside = view.runsByStep.get(TaskName.stepOf(name)) ?? 0;
  const spread = step.isLasting ? beside * SPREAD_COST : 0;
  return view.free.processors + bonus - spread;
}

function idleProcessors(view: WorkerView): number {
  const unused = view.lastingProcessors * (1 - LASTING_USE);
  return view.free.processors + unused - view.fillingProcessors;
}
