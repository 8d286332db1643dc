import type {RunEndingCause} from '@chicoryspring/contracts';

/** Something that happened at a worker; `worker` is one incarnation. */
export type RunEvent =
  | {
      readonly kind: 'began';
      readonly worker: object;
      readonly task: string;
      readonly run: number;
      readonly checkpoint: string;
    }
  | {
      readonly kind: 'ended';
      readonly worker: object;
      readonly task: string;
      readonly run: number;
      readonly number: number;
      readonly cause: RunEndingCause;
    }
  /** Every ending up to the number was acknowledged. */
  | {
      readonly kind: 'acknowledged';
      readonly worker: object;
      readonly upTo: number;
    }
  /** The lease expired, with or without runs. */
  | {readonly kind: 'lapsed'; readonly worker: object};
