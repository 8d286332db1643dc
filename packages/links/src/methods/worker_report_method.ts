import * as v from 'valibot';
import {workerReportSchema, type WorkerReport} from '@chicoryspring/contracts';
import type {LinkMethod} from '../method/link_method_types.js';

/** Agent to entry, as a notification: the state of the worker and its runs. */
export const workerReportMethod: LinkMethod<WorkerReport, null> = {
  name: 'worker.report',
  input: workerReportSchema,
  result: v.null(),
};
