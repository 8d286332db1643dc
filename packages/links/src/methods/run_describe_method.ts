import * as v from 'valibot';
import {
  runDescriptionSchema,
  type RunDescription,
} from '@chicoryspring/contracts';
import type {LinkMethod} from '../method/link_method_types.js';

interface DescribedRun {
  readonly task: string;
  readonly run: number;
  readonly description: RunDescription;
}

/** Owner to agent: describes a run that the agent found on its worker. */
export const runDescribeMethod: LinkMethod<DescribedRun, null> = {
  name: 'run.describe',
  input: v.object({
    task: v.string(),
    run: v.number(),
    description: runDescriptionSchema,
  }),
  result: v.null(),
};
