/**
 * The instants of an orderly stop, in milliseconds on the clock of the process.
 *
 * They are fixed when the process is told to stop; each part of the stop gets
 * what is left until one of them.
 */
export interface StopSchedule {
  /** When the process was told to stop. */
  readonly begun: number;
  /** Until then peers may not have noticed that the process isn't ready. */
  readonly noticeEnds: number;
  /** A request that arrives later is refused at once. */
  readonly lastAcceptance: number;
  /** By then each request in progress is answered. */
  readonly answersDue: number;
  /** By then the process has ended. */
  readonly deadline: number;
}
