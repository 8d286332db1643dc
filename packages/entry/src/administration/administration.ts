import type {Clock} from '@chicoryspring/contracts';
import {
  AuditTrail,
  ConfigurationPublisher,
  ConfigurationReader,
} from '@chicoryspring/configuration';
import type {Link} from '@chicoryspring/links';
import type {Store} from '@chicoryspring/store';
import type {AgentPeerDirectory} from '../agents/agent_peer_directory.js';
import {ConfigurationChanges} from '../configuration_changes/configuration_changes.js';
import {readFleetUsage} from '../configuration_changes/fleet_usage_reader.js';
import {ConfirmedRevisions} from '../confirmation/confirmed_revisions.js';
import {RevisionConfirmation} from '../confirmation/revision_confirmation.js';
import type {LiveState} from '../live_state/live_state.js';
import type {TaskRecords} from '../tasks/task_records.js';

/** Operations of an entry for operators: configuration, audit trail. */
export class Administration {
  readonly audit: AuditTrail;
  readonly reader: ConfigurationReader;
  readonly changes: ConfigurationChanges;
  readonly confirmed = new ConfirmedRevisions();
  readonly confirmation: RevisionConfirmation;

  constructor(
    entryName: string,
    store: Store,
    clock: Clock,
    live: LiveState,
    agents: AgentPeerDirectory,
    records: TaskRecords,
    readonly linkTo: (entry: string) => Link | undefined,
  ) {
    this.audit = new AuditTrail(store, clock);
    this.reader = new ConfigurationReader(store);
    this.changes = new ConfigurationChanges(
      live,
      new ConfigurationPublisher(store, this.audit, clock),
      this.audit,
      () => readFleetUsage(agents, records),
    );
    this.confirmation = new RevisionConfirmation(
      entryName,
      live,
      agents,
      records,
      this.confirmed,
      linkTo,
      clock,
    );
  }
}
