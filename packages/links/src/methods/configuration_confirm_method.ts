import * as v from 'valibot';
import type {LinkMethod} from '../method/link_method_types.js';

interface ConfirmationQuestion {
  /** Revision that is to be in force at the entry and its agents. */
  readonly revision: number;
  /** Failure domain whose tasks are listed. */
  readonly failureDomain: string;
  readonly remainingMilliseconds: number;
}

interface EntryConfirmation {
  readonly entry: string;
  /** Revision that the entry has in force. */
  readonly revision: number;
  /** Revisions that the linked agents have confirmed. */
  readonly agents: readonly {
    readonly worker: string;
    readonly revision: number;
  }[];
  /** Unsettled tasks of the entry on workers of the failure domain. */
  readonly tasks: readonly string[];
}

/** Entry to entry: waits until a revision is in force, or for the time given. */
export const configurationConfirmMethod: LinkMethod<
  ConfirmationQuestion,
  EntryConfirmation
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
