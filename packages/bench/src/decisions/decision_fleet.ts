import type {Task} from '@chicoryspring/contracts';
import {InMemoryWorkerIndex} from '@chicoryspring/workers';

const FAILURE_DOMAINS = 6;
const WORKERS_PER_RACK = 3;
const CLASSES = 12;
const TASKS_PER_WORKER = 29;
const PROCESSORS = 64;
const MEMORY_MEBIBYTES = 256_000;
const LARGEST_TASK_PROCESSORS = 4;
const MEMORY_PER_PROCESSOR_MEBIBYTES = 2_000;
const CALLERS = 310;

interface Placed {
  readonly worker: string;
  readonly task: Task;
}

/**
 * An index of workers that is full of tasks, as placement decisions see it.
 *
 * Each new task takes the place of the oldest one, so that the fleet keeps its
 * 29 tasks a worker through any number of decisions.
 */
export class DecisionFleet {
  readonly index = new InMemoryWorkerIndex();
  /** The service of every worker, and the classes of its tasks. */
  static readonly service = 'records';
  static readonly classes: readonly string[] = Array.from(
    {length: CLASSES},
    (_, number) => `class-${number}`,
  );

  private readonly placed: Placed[] = [];
  private oldest = 0;
  private created = 0;

  constructor(
    private readonly workers: number,
    private readonly random: () => number,
  ) {
    for (let position = 0; position < workers; position += 1) {
      this.announce(position);
    }
    this.fill();
  }

  get running(): number {
    return this.placed.length - this.oldest;
  }

  /** A task that asks for a place. */
  createTask(): Task {
    this.created += 1;
    const processors = 1 + Math.floor(this.random() * LARGEST_TASK_PROCESSORS);
    const memoryMebibytes = processors * MEMORY_PER_PROCESSOR_MEBIBYTES;
    return {
      id: `task-${this.created}`,
      caller: `caller-${this.created % CALLERS}`,
      team: `team-${this.created % CALLERS}`,
      kind: 'run',
      taskClass: DecisionFleet.classes[Math.floor(this.random() * CLASSES)]!,
      urgent: false,
      resources: {processors, memoryMebibytes, accelerators: 0},
      idempotencyKey: '',
      input: '',
    };
  }

  /** Counts a placement. */
  add(worker: string, task: Task): void {
    this.index.recordPlacement(worker, task);
    this.placed.push({worker, task});
  }

  /** Ends the oldest task, as the next report of its worker would say. */
  endOldest(): void {
    const {worker, task} = this.placed[this.oldest]!;
    this.oldest += 1;
    this.index.recordEnding(worker, task);
  }

  private announce(position: number): void {
    this.index.recordAnnouncement({
      worker: `worker-${position}`,
      failureDomain: `domain-${position % FAILURE_DOMAINS}`,
      rack: `rack-${Math.floor(position / WORKERS_PER_RACK)}`,
      capacity: {
        processors: PROCESSORS * 2,
        memoryMebibytes: MEMORY_MEBIBYTES,
        accelerators: position % 2,
      },
      service: DecisionFleet.service,
      slots: 8,
      running: [],
      draining: false,
    });
  }

  private fill(): void {
    const tasks = this.workers * TASKS_PER_WORKER;
    for (let count = 0; count < tasks; count += 1) {
      this.add(`worker-${count % this.workers}`, this.createTask());
    }
  }
}
