import * as v from 'valibot';
import {workerLoadSchema, type WorkerLoad} from '@chicoryspring/contracts';
import type {LinkMethod} from '../method/link_method_types.js';

interface AgentLoad {
  readonly worker: string;
  readonly load: WorkerLoad;
}

/** Agent to entry, as a notification: the load of the worker. */
export const agentLoadMethod: LinkMethod<AgentLoad, null> = {
  name: 'agent.load',
  input: v.object({worker: v.string(), load: workerLoadSchema}),
  result: v.null(),
};
