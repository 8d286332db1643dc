import * as v from 'valibot';
import type {LinkMethod} from '../method/link_method_types.js';

interface ConfirmationRequest {
  /** Revision that should be active at the entry and its agents. */
  readonly revision: number;
  /** Failure domain whose unfinished tasks are listed. */
  readonly failureDomain: string;
  readonly remainingMilliseconds: number;
}

interface ConfirmationResult {
  readonly entry: string;
  /** Revision that is active at the entry. */
  readonly revision: number;
  /** Revisions that the linked agents have confirmed. */
  readonly agents: readonly {
    readonly worker: string;
    readonly revision: number;
  }[];
  /** Tasks of the entry on workers of the failure domain, not yet terminal. */
  readonly tasks: readonly string[];
}

/** Entry to entry: waits until a revision is active or the time has passed. */
export const configurationConfirmMethod: LinkMethod<
  ConfirmationRequest,
  ConfirmationResult
> = {
  name: 'configuration.confirm',
  input: v.object({
    revision: v.number(),
    failureDomain: v.string(),
    remainingMilliseconds: v.number(),
  }),
  result: v.object({
    entry: v.string(),
    revision: v.number(),
    agents: v.array(v.object({worker: v.string(), revision: v.number()})),
    tasks: v.array(v.string()),
  }),
};
