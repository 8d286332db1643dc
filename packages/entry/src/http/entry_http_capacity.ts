import type {Clock} from '@chicoryspring/contracts';
import {HttpCapacity} from '@chicoryspring/http-server';
import type {Metrics} from '@chicoryspring/observability';

/** Creates the capacity of the listeners of an entry, which counts refusals. */
export function createHttpCapacity(
  bodyMebibytes: number | undefined,
  clock: Clock,
  metrics: Metrics,
): HttpCapacity {
  return HttpCapacity.ofProcess(bodyMebibytes, clock, reason =>
    metrics.increment('entry.client_refusals', {reason}),
  );
}
