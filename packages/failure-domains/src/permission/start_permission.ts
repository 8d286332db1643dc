import {DomainsOutOfService} from '../service/domains_out_of_service.js';

/**
 * Permission of an agent to start work.
 *
 * Each heartbeat of an entry whose configuration is confirmed to be current
 * extends the permission. Taking the agent's failure domain out of service
 * revokes it. An older configuration revision is ignored, so it never restores
 * a revoked permission.
 */
export class StartPermission {
  private deadline = 0;
  private readonly outOfService = new DomainsOutOfService();

  constructor(private readonly failureDomain: string) {}

  /** Highest configuration revision that this process has received. */
  get revision(): number {
    return this.outOfService.revision;
  }

  /** Applies a heartbeat or a configuration change; ignores older revisions. */
  extend(
    revision: number,
    domainsOut: readonly string[],
    deadline: number,
  ): void {
    if (!this.outOfService.apply(revision, domainsOut)) return;
    this.deadline = Math.max(this.deadline, deadline);
  }

  /** Why no work may start at this instant; undefined if it may. */
  refusal(
    now: number,
  ): 'failure-domain-out' | 'start-permission-expired' | undefined {
    if (this.outOfService.includes(this.failureDomain))
      return 'failure-domain-out';
    return now < this.deadline ? undefined : 'start-permission-expired';
  }
}
