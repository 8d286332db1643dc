import * as v from 'valibot';
import type {LinkMethod} from '../method/link_method_types.js';

interface DomainsChange {
  readonly revision: number;
  /** Failure domains that are out of service at that revision. */
  readonly domainsOut: readonly string[];
}

interface DomainsChangeResult {
  /** Revision that is active at the agent after the change. */
  readonly revision: number;
}

/** Entry to agent: a newer revision and its domains out of service. */
export const domainsChangedMethod: LinkMethod<
  DomainsChange,
  DomainsChangeResult
> = {
  name: 'domains.changed',
  input: v.object({revision: v.number(), domainsOut: v.array(v.string())}),
  result: v.object({revision: v.number()}),
};
