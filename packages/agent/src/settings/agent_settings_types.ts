import type {Resources} from '@chicoryspring/contracts';

/** Settings of an agent. */
export interface AgentSettings {
  readonly worker: string;
  readonly failureDomain: string;
  readonly rack: string;
  /** Address on which the agent listens. */
  readonly host: string;
  readonly port: number;
  /** Mebibytes of request bodies that it holds at once. */
  readonly bodyBudgetMebibytes?: number | undefined;
  /** Address of the worker. */
  readonly workerUrl: string;
  /** Link addresses of seed entries; these report the other entries. */
  readonly entryUrls: readonly string[];
  readonly capacity: Resources;
  /** Shared key of the fleet's links; a secret. */
  readonly linkKey: string;
}
