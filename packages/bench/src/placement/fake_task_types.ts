import type {Task} from '@chicoryspring/contracts';

/** A task of the fake fleet. */
export interface FakeTask {
  readonly task: Task;
  /** Work left, in milliseconds on an undisturbed worker. */
  readonly remainingMilliseconds: number;
  /** Processors that it uses, whatever it declared. */
  readonly usedProcessors: number;
}
