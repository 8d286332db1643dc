import type {AddressInfo} from 'node:net';
import {
  waitUntilDeadline,
  type Clock,
  type StopSchedule,
} from '@chicoryspring/contracts';
import type {HttpServer} from '@chicoryspring/http-server';
import type {LinkMethodRegistry} from '@chicoryspring/links';
import {StopLog} from '@chicoryspring/observability';
import type {ShardTable} from '@chicoryspring/shards';
import type {EntryMembership} from '../membership/entry_membership.js';
import type {EntryObserver} from '../observation/entry_observer.js';
import type {RequestClaims} from '../requests/request_claims.js';

const FORWARDED_TIMEOUT_MILLISECONDS = 1_000;

interface EntryStopParts {
  readonly clock: Clock;
  readonly claims: Pick<RequestClaims, 'drain'>;
  readonly membership: Pick<EntryMembership, 'leave'>;
  readonly table: Pick<ShardTable, 'ownedShards'>;
  readonly registry: Pick<LinkMethodRegistry, 'drained'>;
  readonly observer: Pick<EntryObserver, 'finish' | 'telemetry'>;
  readonly servers: readonly HttpServer[];
  /**
   * Whether requests are passed on over links of agents. They close the link of
   * an entry that has left, so it leaves only after the answers.
   */
  readonly usesAgentLinks: boolean;
}

/** The stop of one entry, from the signal until only the process is left. */
export class EntryStop {
  private readonly log: StopLog;

  constructor(
    private readonly parts: EntryStopParts,
    private readonly stop: StopSchedule,
  ) {
    const {stateLog} = parts.observer.telemetry;
    this.log = new StopLog(stateLog, parts.clock, stop.deadline);
  }

  /**
   * Answers the requests and hands the shards over, then ends what other
   * entries forwarded.
   */
  async run(): Promise<void> {
    const {clock, observer, usesAgentLinks} = this.parts;
    const {answersDue, deadline} = this.stop;
    if (usesAgentLinks) {
      await this.stopServers();
      await this.handOver(deadline);
    } else {
      await Promise.all([this.stopServers(), this.handOver(answersDue)]);
    }
    await this.waitForForwarded();
    await waitUntilDeadline(clock, deadline, observer.finish());
    this.log.step('audit trail written');
  }

  /** Records the outcomes of claims, then hands the shards over. */
  private async handOver(deadline: number): Promise<void> {
    const {clock, table} = this.parts;
    await waitUntilDeadline(clock, deadline, this.leave(deadline));
    const shardsLeft = table.ownedShards.length;
    this.log.step('shards handed over', {shardsLeft});
  }

  private async leave(deadline: number): Promise<void> {
    await this.parts.claims.drain();
    this.log.step('claims recorded');
    await this.parts.membership.leave(deadline);
  }

  private async stopServers(): Promise<void> {
    const {servers} = this.parts;
    await Promise.all(servers.map(server => this.stopServer(server)));
  }

  private async stopServer(server: HttpServer): Promise<void> {
    const address = server.server.address() as AddressInfo | null;
    const summary = await server.stop(this.stop);
    this.log.step('requests answered', {port: address?.port, ...summary});
  }

  /** Waits a limited time for forwarded operations; their senders retry. */
  private async waitForForwarded(): Promise<void> {
    const {clock, registry} = this.parts;
    const deadline = Math.min(
      this.stop.deadline,
      clock.now() + FORWARDED_TIMEOUT_MILLISECONDS,
    );
    await waitUntilDeadline(clock, deadline, registry.drained());
    this.log.step('forwarded operations ended');
  }
}
