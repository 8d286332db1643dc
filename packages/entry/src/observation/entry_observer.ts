import type {Clock} from '@chicoryspring/contracts';
import type {AuditEntry} from '@chicoryspring/configuration';
import type {MessageCount} from '@chicoryspring/links';
import {EventLoopMonitor} from '@chicoryspring/observability';
import type {ShardTable} from '@chicoryspring/shards';
import type {Administration} from '../administration/administration.js';
import type {AgentPeerDirectory} from '../agents/agent_peer_directory.js';
import type {ConfigurationOrigin} from '../live_state/configuration_origin_types.js';
import type {LiveState} from '../live_state/live_state.js';
import type {EntrySettings} from '../settings/entry_settings_types.js';
import type {EntryTelemetry} from './entry_telemetry_types.js';
import {AuditRecorder} from './audit_recorder.js';
import type {TaskTransition} from './task_transition_types.js';

const GAUGE_INTERVAL_MILLISECONDS = 10_000;

/** The entry that is observed; some of its parts are created after the observer. */
interface ObservedEntry {
  readonly administration: Administration;
  readonly agents: AgentPeerDirectory;
  readonly linkedEntryCount: number;
  readonly live: LiveState;
  /** The messages on links since the last call. */
  readonly takeMessageCounts: () => readonly MessageCount[];
  readonly settings: EntrySettings;
  /** Number of store calls by `KIND.RESULT`. */
  readonly storeCalls: ReadonlyMap<string, number>;
  readonly table: ShardTable;
}

/** Reports what an entry does as metrics, log lines and audit records. */
export class EntryObserver {
  private readonly recorder: AuditRecorder;
  private reportedStoreCalls: ReadonlyMap<string, number> = new Map();

  constructor(
    private readonly entry: ObservedEntry,
    private readonly clock: Clock,
    readonly telemetry: EntryTelemetry,
  ) {
    this.recorder = new AuditRecorder(entry.administration.audit, clock);
  }

  /** Background loops: write the audit trail, watch the event loop, send gauges. */
  async run(signal: AbortSignal): Promise<void> {
    void this.recorder.run(signal);
    const {metrics, stateLog: log} = this.telemetry;
    const {clock} = this;
    void new EventLoopMonitor({clock, log, metrics}).run(signal);
    while (!signal.aborted) {
      this.sendGauges();
      const next = this.clock.now() + GAUGE_INTERVAL_MILLISECONDS;
      await this.clock.sleepUntil(next, signal);
    }
  }

  /** Writes one batch of pending audit entries before the process ends. */
  async finish(): Promise<void> {
    await this.recorder.flush();
  }

  taskTransitioned(transition: TaskTransition): void {
    const {event, after} = transition;
    const {metrics, stateLog} = this.telemetry;
    metrics.increment('entry.task_transitions', {event, state: after.state});
    if (event === 'evict') {
      metrics.increment('entry.evictions');
      this.record(transition, 'eviction');
    }
    if (event === 'fail' && after.reason === 'quarantined') {
      stateLog.change('task quarantined', {taskId: after.key});
      this.record(transition, 'quarantine');
    }
  }

  /** Logs the configuration in force and how it reached this entry. */
  configurationChanged(origin: ConfigurationOrigin): void {
    const {revision, document} = this.entry.live.configuration.current;
    const {author, changeId, objects} = document;
    const change = {
      revision,
      changeId,
      author,
      objects: objects.length,
      origin,
    };
    this.telemetry.stateLog.change('configuration in force', change);
  }

  private record({after}: TaskTransition, action: AuditEntry['action']): void {
    const {entry} = this;
    this.recorder.add({
      actor: entry.settings.name,
      action,
      object: `Task/${after.key}`,
      summary: `${after.task.taskClass} of ${after.task.team} on ${after.worker ?? 'no worker'}, epoch ${after.epoch}`,
      fromRevision: entry.live.configuration.current.revision,
      outcome: 'accepted',
    });
  }

  private sendGauges(): void {
    const {metrics} = this.telemetry;
    const {entry} = this;
    const {revision} = entry.live.configuration.current;
    metrics.gauge('entry.configuration_revision', revision);
    metrics.gauge('entry.linked_agents', entry.agents.all.length);
    metrics.gauge('entry.linked_entries', entry.linkedEntryCount);
    metrics.gauge('entry.owned_shards', entry.table.ownedShards.length);
    this.countStoreCalls();
    this.countMessages();
  }

  private countMessages(): void {
    const {metrics} = this.telemetry;
    for (const count of this.entry.takeMessageCounts()) {
      const {direction, method, messages, bytes} = count;
      const tags = {direction, method};
      metrics.increment('entry.link_messages', tags, messages);
      metrics.increment('entry.link_bytes', tags, bytes);
    }
  }

  private countStoreCalls(): void {
    const {metrics} = this.telemetry;
    const counts = this.entry.storeCalls;
    for (const [name, count] of counts) {
      const [call = '', result = ''] = name.split('.');
      const added = count - (this.reportedStoreCalls.get(name) ?? 0);
      if (added === 0) continue;
      metrics.increment('entry.store_calls', {call, result}, added);
    }
    this.reportedStoreCalls = counts;
  }
}
