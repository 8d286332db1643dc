import * as v from 'valibot';
import {workerReportSchema, type WorkerReport} from '@chicoryspring/contracts';
import type {LinkMethod} from '../method/link_method_types.js';

/** Agent to entry: everything that it answers for; sent without an answer. */
export const workerReportMethod: LinkMethod<WorkerReport, null> = {
  name: 'worker.report',
  input: workerReportSchema,
  result: v.null(),
};
