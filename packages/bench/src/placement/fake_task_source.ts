import type {FakeTask} from './fake_task_types.js';

const CLASSES = 8;
/** Length of a wave in which one class is over-represented. */
const WAVE_MILLISECONDS = 60_000;
const WAVE_SHARE = 0.4;
const LARGEST_DECLARED_PROCESSORS = 4;
const MEMORY_PER_PROCESSOR_MEBIBYTES = 2_000;
const SHORTEST_WORK_MILLISECONDS = 10_000;
const WORK_RANGE_MILLISECONDS = 50_000;
const LEAST_USED_SHARE = 0.4;
const USED_SHARE_RANGE = 0.7;
const CALLERS = 5;

/** Submits batch tasks in noisy waves; declared sizes are not the used ones. */
export class FakeTaskSource {
  static readonly classes: readonly string[] = Array.from(
    {length: CLASSES},
    (_, number) => `class-${number}`,
  );

  private readonly usedShares: readonly number[];
  private created = 0;

  constructor(private readonly random: () => number) {
    this.usedShares = FakeTaskSource.classes.map(
      () => LEAST_USED_SHARE + random() * USED_SHARE_RANGE,
    );
  }

  /** The next task; its class depends on the wave of the instant. */
  create(now: number): FakeTask {
    const number = this.drawClass(now);
    const {random} = this;
    const processors = 1 + Math.floor(random() * LARGEST_DECLARED_PROCESSORS);
    this.created += 1;
    const memoryMebibytes = processors * MEMORY_PER_PROCESSOR_MEBIBYTES;
    const caller = `caller-${this.created % CALLERS}`;
    return {
      task: {
        id: `task-${this.created}`,
        caller,
        team: caller,
        kind: 'run',
        taskClass: FakeTaskSource.classes[number]!,
        urgent: false,
        resources: {processors, memoryMebibytes, accelerators: 0},
        idempotencyKey: '',
        input: '',
      },
      remainingMilliseconds:
        SHORTEST_WORK_MILLISECONDS + random() * WORK_RANGE_MILLISECONDS,
      usedProcessors: processors * this.usedShares[number]!,
    };
  }

  private drawClass(now: number): number {
    const wave = Math.floor(now / WAVE_MILLISECONDS) % CLASSES;
    if (this.random() < WAVE_SHARE) return wave;
    return Math.floor(this.random() * CLASSES);
  }
}
