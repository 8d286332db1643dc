import type {Caller} from '@chicoryspring/callers';
import type {Clock} from '@chicoryspring/contracts';
import {
  jsonAnswer,
  type HttpAnswer,
  type HttpRequest,
} from '@chicoryspring/http-server';
import type {Administration} from '../administration/administration.js';
import type {EntryRoute} from './entry_route_types.js';
import {RequestFields} from './request_fields.js';

const OK = 200;

interface FailureDomainRoutesParts {
  readonly administration: Administration;
  readonly clock: Clock;
}

/** Routes that take failure domains out of service and bring them back. */
export function createFailureDomainRoutes(
  entry: FailureDomainRoutesParts,
): readonly EntryRoute[] {
  return [
    {
      access: 'operator',
      method: 'POST',
      path: '/v1/failure-domains/:name/take-out',
      answer: (request, operator) =>
        setInService(entry, request, operator, false),
    },
    {
      access: 'operator',
      method: 'POST',
      path: '/v1/failure-domains/:name/bring-back',
      answer: (request, operator) =>
        setInService(entry, request, operator, true),
    },
  ];
}

async function setInService(
  entry: FailureDomainRoutesParts,
  request: HttpRequest,
  operator: Caller,
  inService: boolean,
): Promise<HttpAnswer> {
  const name = request.path['name'] ?? '';
  const mustWait = RequestFields.flag(request, 'wait');
  const allowUnsafe = RequestFields.flag(request, 'allowUnsafe');
  const deadline = RequestFields.deadline(entry.clock, request);
  const tasksBefore = mustWait ? await tasksIn(entry, name, deadline) : [];
  const {revision} = await entry.administration.changes.setInService(
    name,
    inService,
    operator.name,
    allowUnsafe,
  );
  const changed = {revision, name, inService};
  if (!mustWait) return jsonAnswer(OK, changed);
  const {tasks, ...confirmation} =
    await entry.administration.confirmation.confirmAcrossFleet(
      revision,
      name,
      deadline,
    );
  const moved = tasksBefore.filter(task => !tasks.includes(task));
  return jsonAnswer(OK, {...changed, confirmation, moved, remaining: tasks});
}

/** Returns the non-terminal tasks on workers of the failure domain. */
async function tasksIn(
  entry: FailureDomainRoutesParts,
  name: string,
  deadline: number,
): Promise<readonly string[]> {
  const confirmation =
    await entry.administration.confirmation.confirmAcrossFleet(
      0,
      name,
      deadline,
    );
  return confirmation.tasks;
}
