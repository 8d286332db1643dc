import {Wakeup, type Clock} from '@chicoryspring/contracts';
import {configurationConfirmMethod, type Link} from '@chicoryspring/links';
import type {AgentPeerDirectory} from '../agents/agent_peer_directory.js';
import type {LiveState} from '../live_state/live_state.js';
import {TaskRecords} from '../tasks/task_records.js';
import type {ConfirmedRevisions} from './confirmed_revisions.js';
import type {EntryConfirmation} from './entry_confirmation_types.js';
import type {FleetConfirmation} from './fleet_confirmation_types.js';

/** Maximum number of tasks that one entry lists. */
const MAX_LISTED_TASKS = 1_000;
/** Added to a call's deadline, so that an answer given at it can arrive. */
const REPLY_MARGIN_MILLISECONDS = 250;

/** Waits until a revision is active at every entry and every agent. */
export class RevisionConfirmation {
  constructor(
    private readonly entryName: string,
    private readonly live: LiveState,
    private readonly agents: AgentPeerDirectory,
    private readonly records: TaskRecords,
    private readonly confirmed: ConfirmedRevisions,
    private readonly linkTo: (entry: string) => Link | undefined,
    private readonly clock: Clock,
  ) {}

  /**
   * Waits until the revision is active at this entry and its linked agents, or
   * until the deadline; returns the state then.
   */
  async confirmLocally(
    revision: number,
    failureDomain: string,
    deadline: number,
  ): Promise<EntryConfirmation> {
    const wakeup = new Wakeup();
    const unsubscribe = this.confirmed.subscribe(wakeup);
    const stopWaiting = new AbortController();
    void this.clock
      .sleepUntil(deadline, stopWaiting.signal)
      .then(() => wakeup.notify());
    while (this.clock.now() < deadline && !this.isActiveLocally(revision)) {
      await wakeup.wait();
    }
    stopWaiting.abort();
    unsubscribe();
    return this.describeLocal(failureDomain);
  }

  /** Asks every known entry and combines the confirmations. */
  async confirmAcrossFleet(
    revision: number,
    failureDomain: string,
    deadline: number,
  ): Promise<FleetConfirmation> {
    const names = this.live.entries.map(entry => entry.name);
    const entryNames = names.includes(this.entryName)
      ? names
      : [...names, this.entryName];
    const answers = await Promise.all(
      entryNames.map(name =>
        this.askEntry(name, revision, failureDomain, deadline).catch(
          () => undefined,
        ),
      ),
    );
    const received = answers.filter(answer => answer !== undefined);
    return summarize(revision, entryNames, received);
  }

  private async askEntry(
    name: string,
    revision: number,
    failureDomain: string,
    deadline: number,
  ): Promise<EntryConfirmation | undefined> {
    if (name === this.entryName) {
      return await this.confirmLocally(revision, failureDomain, deadline);
    }
    const remainingMilliseconds = deadline - this.clock.now();
    const question = {revision, failureDomain, remainingMilliseconds};
    const callDeadline = deadline + REPLY_MARGIN_MILLISECONDS;
    const link = this.linkTo(name);
    return await link?.call(configurationConfirmMethod, question, callDeadline);
  }

  private isActiveLocally(revision: number): boolean {
    const workers = this.agents.workers.map(one => one.announcement.worker);
    const isHere = this.live.configuration.current.revision >= revision;
    return isHere && workers.every(one => this.confirmed.get(one) >= revision);
  }

  private describeLocal(failureDomain: string): EntryConfirmation {
    const {workers} = this.agents;
    const workersInDomain = new Set(
      workers
        .filter(one => one.announcement.failureDomain === failureDomain)
        .map(one => one.announcement.worker),
    );
    const tasks = this.records.all
      .filter(
        one =>
          !TaskRecords.isTerminal(one) && workersInDomain.has(one.worker ?? ''),
      )
      .filter(one => one.state !== 'waiting')
      .map(one => one.key)
      .slice(0, MAX_LISTED_TASKS);
    const agents = workers.map(one => {
      const {worker} = one.announcement;
      return {worker, revision: this.confirmed.get(worker)};
    });
    const {revision} = this.live.configuration.current;
    return {entry: this.entryName, revision, agents, tasks};
  }
}

function summarize(
  revision: number,
  entryNames: readonly string[],
  answers: readonly EntryConfirmation[],
): FleetConfirmation {
  const current = answers.filter(one => one.revision >= revision);
  const confirmedEntries = current.map(one => one.entry).sort();
  const unconfirmedEntries = entryNames
    .filter(name => !confirmedEntries.includes(name))
    .sort();
  const highest = new Map<string, number>();
  for (const {worker, revision: confirmed} of answers.flatMap(
    one => one.agents,
  )) {
    highest.set(worker, Math.max(confirmed, highest.get(worker) ?? 0));
  }
  const workers = [...highest.keys()].sort();
  const isConfirmed = (worker: string) => highest.get(worker)! >= revision;
  const confirmedWorkers = workers.filter(isConfirmed);
  const unconfirmedWorkers = workers.filter(one => !isConfirmed(one));
  const isInForce =
    unconfirmedEntries.length === 0 && unconfirmedWorkers.length === 0;
  const tasks = answers.flatMap(one => one.tasks);
  return {
    revision,
    isInForce,
    confirmedEntries,
    confirmedWorkers,
    unconfirmedEntries,
    unconfirmedWorkers,
    tasks,
  };
}
