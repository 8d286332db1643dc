import {
  ChicoryspringError,
  TaskName,
  type RunOrderMessage,
  type RunOrder,
} from '@chicoryspring/contracts';

/** Jobs whose specifications are kept; at least twice as many as an owner's. */
const MAX_JOBS = 256;

/** The specifications of the jobs that the agent was last ordered to run. */
export class SpecificationCache {
  /** By job, the one that was used last at the end. */
  private readonly specifications = new Map<string, string>();

  /** The whole order; throws if it has no specification and none is known. */
  complete(order: RunOrderMessage): RunOrder {
    const job = TaskName.parseJobId(order.task) ?? '';
    const spec = order.spec ?? this.specifications.get(job);
    if (spec === undefined) {
      const message = `the specification of ${job} is not known`;
      throw new ChicoryspringError('unknown-object', message);
    }
    this.specifications.delete(job);
    this.specifications.set(job, spec);
    this.dropOldest();
    return {...order, spec};
  }

  private dropOldest(): void {
    const [oldest] = this.specifications.keys();
    const isFull = this.specifications.size > MAX_JOBS;
    if (isFull && oldest !== undefined) this.specifications.delete(oldest);
  }
}
