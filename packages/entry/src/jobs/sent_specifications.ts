import type {RunOrderMessage, RunOrder} from '@chicoryspring/contracts';
import type {Link} from '@chicoryspring/links';

/** Jobs per link that are remembered; an agent keeps the specifications of more. */
const MAX_JOBS = 128;

/**
 * The jobs whose specification was sent on each link.
 *
 * It is the largest part of a start order and the same for all tasks of a job, so
 * the orders after the first leave it out.
 */
export class SentSpecifications {
  private readonly jobsByLink = new WeakMap<Link, Set<string>>();

  /** The order to send, without the specification if that was sent on the link. */
  messageFor(order: RunOrder, job: string, link: Link): RunOrderMessage {
    const jobs = this.jobsByLink.get(link) ?? new Set<string>();
    this.jobsByLink.set(link, jobs);
    if (jobs.has(job)) return {...order, spec: undefined};
    if (jobs.size >= MAX_JOBS) jobs.clear();
    jobs.add(job);
    return order;
  }

  /** Has the next order of the job on the link carry the specification again. */
  forget(job: string, link: Link): void {
    this.jobsByLink.get(link)?.delete(job);
  }
}
