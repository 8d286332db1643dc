import type {JobRecord, JobStep} from '@chicoryspring/contracts';

const SPEC_CHARACTERS = 500;
const ATTEMPTS = 2;
const STEP: JobStep = {
  count: 1,
  resources: {processors: 1, memoryMebibytes: 100, accelerators: 0},
  estimateMilliseconds: 1_000,
  after: [],
  isCheckpointable: false,
  isGang: false,
  isSameRack: false,
  isSpeculative: false,
  isLasting: false,
  isFilling: false,
};

/**
 * A scheduled job of which every occurrence is due and the last ones are open,
 * as earlier releases write it.
 */
export function scheduledJobRecord(
  id: string,
  count: number,
  openCount: number,
): JobRecord {
  const ended = Array.from({length: count - openCount}, (_, n) => `${n}.0.0`);
  return {
    kind: 'job',
    key: id,
    job: {
      id,
      queue: 'queue',
      spec: 's'.repeat(SPEC_CHARACTERS),
      steps: [STEP],
      occurrences: {count, firstInstant: 0, intervalMilliseconds: 1},
    },
    terms: {
      service: 'service',
      priority: 0,
      attempts: ATTEMPTS,
      slackFactor: 2,
      objectiveMilliseconds: 1_000,
    },
    state: 'accepted',
    acceptedInstant: 0,
    progress: {done: ended, failedRuns: {}, checkpoints: {}},
  };
}
