import {
  toChicoryspringError,
  type Clock,
  type RunOrder,
} from '@chicoryspring/contracts';
import type {OwnedJob, OwnedTask, WorkerView} from '@chicoryspring/jobs';
import type {Metrics, StateLog} from '@chicoryspring/observability';
import type {FleetAgentDirectory} from './fleet_agent_directory.js';
import type {RunAgentClient} from './run_agent_client.js';
import type {RunIndex} from './run_index.js';

/** Time before a task whose start order was rejected is placed again. */
const REJECTION_BACKOFF_MILLISECONDS = 100;

interface RunOrderSenderParts {
  readonly agents: FleetAgentDirectory;
  readonly index: RunIndex;
  readonly agentClient: RunAgentClient;
  readonly clock: Clock;
  readonly log: StateLog;
  readonly metrics: Metrics;
}

/** Sends start orders to agents and records their answers. */
export class RunOrderSender {
  constructor(private readonly parts: RunOrderSenderParts) {}

  /** Sends the order of a run that the task already has. */
  async send(
    job: OwnedJob,
    order: RunOrder,
    task: OwnedTask,
    view: WorkerView,
  ): Promise<void> {
    const {run, pace} = order;
    const {agents, agentClient, log, metrics} = this.parts;
    const agent = agents.get(view.agent)!;
    const {life} = view.worker;
    const fields = {taskId: task.name, run, agent: agent.name};
    const {report, permissionDeadline} = agent;
    log.change('run ordered', {
      ...fields,
      checkpoint: task.checkpoint,
      isIsolated: order.isIsolated,
      pace,
      freeProcessors: view.free.processors,
      freeMemoryMebibytes: view.free.memoryMebibytes,
      version: report!.version,
    });
    try {
      const since = await agentClient.startRun(agent, life, order, job.id);
      metrics.increment('entry.run_orders', {result: 'taken'});
      if (task.run?.run !== run) return;
      this.parts.index.set(task, {...task.run, sinceVersion: since});
    } catch (thrown) {
      const {kind, message, answer} = toChicoryspringError(thrown);
      log.change('start order failed', {...fields, kind, message});
      metrics.increment('entry.run_orders', {result: kind});
      if (task.run?.run !== run) return;
      if (answer.outcome === 'not-run') return this.startRejected(task);
      const uncertainUntil = permissionDeadline;
      this.parts.index.set(task, {...task.run, uncertainUntil});
    }
  }

  private startRejected(task: OwnedTask): void {
    const {index, clock} = this.parts;
    index.set(task, undefined);
    task.notBefore = clock.now() + REJECTION_BACKOFF_MILLISECONDS;
  }
}
