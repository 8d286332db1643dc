import type {Clock} from '@chicoryspring/contracts';
import type {FleetAgent} from './fleet_agent.js';
import type {RunAgentClient} from './run_agent_client.js';
import type {SettledEndings} from './settled_endings_types.js';

/** Time for which settlements are collected for one message. */
const BATCH_MILLISECONDS = 5;
/** Time after which a settlement is sent again, since it may have been lost. */
const REPEAT_MILLISECONDS = 300;

/** Notifies agents, in batches, of the endings that need no further action. */
export class EndingSettler {
  /** Settlements to send, by agent and by their shard and incarnation. */
  private pending = new Map<FleetAgent, Map<string, SettledEndings>>();

  constructor(
    private readonly agentClient: RunAgentClient,
    private readonly clock: Clock,
  ) {}

  /** Settles an ending of a job; idempotent for as long as it is listed. */
  settle(agent: FleetAgent, life: string, job: string, number: number): void {
    const now = this.clock.now();
    const {endings} = agent;
    const isKnown = endings.stateOf(life, number) === 'settled';
    if (isKnown && !endings.isSettlementDue(number, now)) return;
    endings.settle(life, number, now + REPEAT_MILLISECONDS);
    const {shard, epoch} = this.agentClient.ownershipOf(job);
    this.add(agent, {shard, epoch, life, numbers: [number]});
  }

  private add(agent: FleetAgent, settlement: SettledEndings): void {
    if (this.pending.size === 0) void this.sendLater();
    const settlements = this.pending.get(agent) ?? new Map();
    this.pending.set(agent, settlements);
    const {shard, epoch, life, numbers} = settlement;
    const key = `${shard}/${epoch}/${life}`;
    const known: readonly number[] = settlements.get(key)?.numbers ?? [];
    settlements.set(key, {...settlement, numbers: [...known, ...numbers]});
  }

  private async sendLater(): Promise<void> {
    await this.clock.sleepUntil(this.clock.now() + BATCH_MILLISECONDS);
    const {pending} = this;
    this.pending = new Map();
    for (const [agent, settlements] of pending) {
      for (const settlement of settlements.values())
        this.agentClient.settleEndings(agent, settlement);
    }
  }
}
