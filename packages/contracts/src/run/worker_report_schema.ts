import * as v from 'valibot';
import {resourcesSchema} from '../resources/resources_schema.js';
import {crashedRunSchema} from './crashed_run_schema.js';
import type {WorkerReport} from './worker_report_types.js';

const run = v.object({
  task: v.string(),
  run: v.number(),
  phase: v.picklist(['starting', 'running', 'stopping']),
  checkpoint: v.string(),
  percent: v.number(),
  pace: v.number(),
  measure: v.number(),
  isDescribed: v.boolean(),
  isIsolated: v.optional(v.boolean()),
  hasPassedProbation: v.optional(v.boolean()),
});

const ending = v.object({
  number: v.number(),
  task: v.string(),
  run: v.number(),
  cause: v.picklist(['done', 'failed', 'stopped', 'lapsed', 'broken', 'alone']),
  checkpoint: v.string(),
});

const worker = v.object({
  worker: v.string(),
  life: v.string(),
  service: v.string(),
  failureDomain: v.string(),
  labels: v.array(v.string()),
  capacity: resourcesSchema,
  isLeaving: v.boolean(),
  isAnswering: v.boolean(),
});

/** Schema of a worker report on a link. */
export const workerReportSchema: v.GenericSchema<unknown, WorkerReport> =
  v.object({
    agent: v.string(),
    agentLife: v.string(),
    version: v.number(),
    worker: v.optional(worker),
    isComplete: v.boolean(),
    free: v.object({
      processors: v.number(),
      memoryMebibytes: v.number(),
      accelerators: v.number(),
    }),
    runs: v.array(run),
    endings: v.array(ending),
    crashedRuns: v.optional(v.array(crashedRunSchema)),
    crashedLives: v.optional(v.array(v.string())),
    refusals: v.array(
      v.object({task: v.string(), run: v.number(), reason: v.string()}),
    ),
  });
