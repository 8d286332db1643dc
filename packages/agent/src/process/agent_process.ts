import {setMaxListeners} from 'node:events';
import {
  ChicoryspringError,
  SystemClock,
  waitUntilDeadline,
  type StopSchedule,
  type WorkerAnnouncement,
  type WorkerLoad,
} from '@chicoryspring/contracts';
import {StartPermission} from '@chicoryspring/failure-domains';
import {
  LinkDialer,
  LinkMethodRegistry,
  agentAnnounceMethod,
  agentLoadMethod,
  domainsChangedMethod,
  requestDispatchMethod,
  taskRenewMethod,
  taskStartMethod,
  taskStopMethod,
  type Link,
} from '@chicoryspring/links';
import {createNoOpAgentObserver} from '../observation/no_op_agent_observer.js';
import {EntryDirectory} from '../entry_peer/entry_directory.js';
import {LoadReporter} from '../load_report/load_reporter.js';
import {StartPermissionRenewer} from '../permission/start_permission_renewer.js';
import type {AgentSettings} from '../settings/agent_settings_types.js';
import type {TargetClient} from '../target/target_client.js';
import {TargetSlot} from '../target/target_slot.js';
import type {TargetAnnouncement} from '../target/target_announcement_types.js';
import {EndingReporter} from '../task_manager/ending_reporter.js';
import {TaskManager} from '../task_manager/task_manager.js';
import {TaskLeaseGuard} from '../task_manager/task_lease_guard.js';
import {HttpWorkerClient} from '../worker_client/http_worker_client.js';

const ANNOUNCE_TIMEOUT_MILLISECONDS = 2_000;
const RETRY_INTERVAL_MILLISECONDS = 200;

/**
 * The agent process for tasks and requests of callers: its worker, its target
 * and its links to the entries.
 *
 * `RunAgentProcess` is the process for runs of jobs.
 */
export class AgentProcess {
  private readonly clock = new SystemClock();
  private readonly stopping = new AbortController();
  private readonly startPermission: StartPermission;
  private readonly worker: HttpWorkerClient;
  private readonly taskManager: TaskManager;
  private readonly registry = new LinkMethodRegistry();
  private readonly entries: EntryDirectory;
  private readonly endingReporter: EndingReporter;
  private readonly taskLeaseGuard: TaskLeaseGuard;
  private readonly target = new TargetSlot(this.clock);
  private readonly loadReporter: LoadReporter;
  private readonly permissionRenewer: StartPermissionRenewer;
  private isDraining = false;

  constructor(
    private readonly settings: AgentSettings,
    private readonly observer = createNoOpAgentObserver(),
  ) {
    this.startPermission = new StartPermission(settings.failureDomain);
    this.worker = new HttpWorkerClient(settings.workerUrl);
    this.taskManager = new TaskManager(
      this.worker,
      this.startPermission,
      this.clock,
      settings.capacity,
    );
    this.registerMethods();
    this.entries = new EntryDirectory(
      settings.worker,
      settings.entryUrls,
      url => new LinkDialer(url, this.registry, this.clock, settings.linkKey),
      link => this.announceOnConnect(link),
    );
    this.endingReporter = new EndingReporter(
      settings.worker,
      this.worker,
      this.taskManager,
      () => this.entries.links(),
      this.clock,
    );
    this.loadReporter = new LoadReporter(
      settings.worker,
      this.worker,
      () => this.entries.links(),
      () => this.load(),
      this.clock,
      observer,
    );
    this.permissionRenewer = new StartPermissionRenewer(
      settings.worker,
      this.startPermission,
      () => this.entries.links(),
      () => this.load(),
      entries => this.entries.reconcile(entries),
      this.clock,
    );
    this.taskLeaseGuard = new TaskLeaseGuard(
      this.taskManager,
      this.endingReporter,
      this.startPermission,
      this.clock,
    );
  }

  /** Whether the agent has an open link and is not draining. */
  get isReady(): boolean {
    return this.entries.links().length > 0 && !this.isDraining;
  }

  /** Configuration revision, tasks, free capacity and link traffic. */
  get status(): object {
    const {worker} = this.settings;
    const {revision} = this.startPermission;
    const {traffic} = this.entries;
    const tasks = this.taskManager.active.length;
    return {worker, revision, tasks, free: this.taskManager.free, traffic};
  }

  /** Starts the background loops, once the capacity ledger is rebuilt. */
  async start(): Promise<void> {
    // Many loops listen to this signal; Node.js would warn of a listener leak.
    setMaxListeners(0, this.stopping.signal);
    await this.rebuild();
    void this.taskLeaseGuard.run(this.stopping.signal);
    void this.endingReporter.run(this.stopping.signal);
    this.observer.changed('agent started');
    void this.permissionRenewer.run(this.stopping.signal);
    void this.loadReporter.run(this.stopping.signal);
    await this.announce();
  }

  /** Records a target's announcement, which also serves as its heartbeat. */
  async registerTarget(announcement: TargetAnnouncement): Promise<void> {
    if (this.target.register(announcement)) await this.announce();
  }

  /** Deregisters the target; its requests in flight complete. */
  async deregisterTarget(): Promise<void> {
    const leaving = this.target.deregister();
    await this.announce();
    await leaving?.close();
  }

  /**
   * Announces draining, completes the requests and evicts the tasks, each for
   * as long as the schedule allows.
   */
  async drain(stop: StopSchedule): Promise<void> {
    this.isDraining = true;
    this.observer.changed('agent draining');
    const log = this.observer.stopLog(this.clock, stop.deadline);
    await waitUntilDeadline(this.clock, stop.answersDue, this.announce());
    const evicted = this.taskLeaseGuard.evictAll(this.stopping.signal);
    const answered = this.registry.drained().then(() => this.target.close());
    await waitUntilDeadline(this.clock, stop.answersDue, answered);
    log.step('requests answered');
    await waitUntilDeadline(this.clock, stop.answersDue, evicted);
    log.step('tasks evicted', {tasksLeft: this.taskManager.active.length});
    this.stopping.abort();
    this.entries.stop();
    await waitUntilDeadline(this.clock, stop.deadline, this.worker.close());
  }

  private registerMethods(): void {
    const {registry} = this;
    registry.register(domainsChangedMethod, async change => {
      // The deadline 0 applies the change without extending the permission.
      this.startPermission.extend(change.revision, change.domainsOut, 0);
      return {revision: this.startPermission.revision};
    });
    registry.register(requestDispatchMethod, async input => {
      const {remainingMilliseconds, requestId, ...request} = input;
      const deadline = this.clock.now() + remainingMilliseconds;
      const target = this.targetClientFor(request.service);
      const answer = await target.serve({
        ...request,
        id: requestId,
        caller: '',
        deadline,
      });
      return {answer, requestsInFlight: target.requestsInFlight};
    });
    this.registerTaskMethods(registry);
  }

  private registerTaskMethods(registry: LinkMethodRegistry): void {
    registry.register(taskStartMethod, async (start, link) => {
      if (this.isDraining) {
        throw new ChicoryspringError('draining', 'the agent is draining');
      }
      // Counts from the earliest instant at which the owner can have sent the
      // message, so that a delay of the message does not prolong the lease.
      const deadline = link.earliestSendTime + start.leaseMilliseconds;
      const {task, epoch, checkpoint, isolation} = start;
      await this.observer.countStart(() =>
        this.taskManager.start(task, epoch, checkpoint, deadline, isolation),
      );
      return null;
    });
    registry.register(taskStopMethod, async ({taskId, epoch, checkpoint}) => ({
      checkpoint: await this.taskManager.stop(taskId, epoch, checkpoint),
    }));
    registry.register(taskRenewMethod, async (renewal, link) => {
      const {tasks, leaseMilliseconds} = renewal;
      const deadline = link.earliestSendTime + leaseMilliseconds;
      return {missing: this.taskManager.renewOwnerLeases(tasks, deadline)};
    });
  }

  private targetClientFor(service: string): TargetClient {
    if (this.isDraining) {
      throw new ChicoryspringError('draining', 'the agent is draining');
    }
    return this.target.clientFor(service);
  }

  private async rebuild(): Promise<void> {
    while (!this.stopping.signal.aborted) {
      try {
        return await this.taskManager.rebuild();
      } catch {
        await this.pause(RETRY_INTERVAL_MILLISECONDS);
      }
    }
  }

  private async announce(): Promise<void> {
    const links = this.entries.links();
    await Promise.allSettled(links.map(link => this.announceTo(link)));
  }

  private async announceOnConnect(link: Link): Promise<void> {
    this.observer.linkOpened();
    await this.announceTo(link);
  }

  private async announceTo(link: Link): Promise<void> {
    const deadline = this.clock.now() + ANNOUNCE_TIMEOUT_MILLISECONDS;
    const announcement = this.announcement();
    const answer = await link.call(agentAnnounceMethod, announcement, deadline);
    this.entries.reconcile(answer.entries);
    link.notify(agentLoadMethod, {
      worker: this.settings.worker,
      load: this.load(),
    });
  }

  private announcement(): WorkerAnnouncement {
    const {worker, failureDomain, rack, capacity} = this.settings;
    const running = this.taskManager.active.map(({task, epoch}) => ({
      taskId: task.id,
      epoch,
      taskClass: task.taskClass,
      resources: task.resources,
    }));
    return {
      worker,
      failureDomain,
      rack,
      capacity,
      service: this.target.announcement?.service,
      slots: this.target.announcement?.slots ?? 0,
      running,
      draining: this.isDraining,
    };
  }

  private load(): WorkerLoad {
    return {
      free: this.taskManager.free,
      requestsInFlight: this.target.requestsInFlight,
      tailMilliseconds: 0,
      measured: this.loadReporter.measured,
      classes: this.taskManager.classes,
    };
  }

  private async pause(milliseconds: number): Promise<void> {
    const deadline = this.clock.now() + milliseconds;
    await this.clock.sleepUntil(deadline, this.stopping.signal);
  }
}
