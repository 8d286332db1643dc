import * as v from 'valibot';
import {
  workerReportChangeSchema,
  type WorkerReportChange,
} from '@chicoryspring/contracts';
import type {LinkMethod} from '../method/link_method_types.js';

/**
 * Agent to entry, as a notification: what has changed since the last report that
 * was sent as a notification on the same link.
 */
export const workerReportChangeMethod: LinkMethod<WorkerReportChange, null> = {
  name: 'worker.report-change',
  input: workerReportChangeSchema,
  result: v.null(),
};
