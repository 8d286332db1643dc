import type {Clock} from '@chicoryspring/contracts';
import type {LinkMethodRegistry} from '@chicoryspring/links';

/** A process that accepts links, or dials others. */
export interface NetworkProcess {
  readonly name: string;
  readonly clock: Clock;
  readonly registry: LinkMethodRegistry;
}
