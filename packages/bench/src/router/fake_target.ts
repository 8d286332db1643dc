import {VirtualQueue} from './virtual_queue.js';

/** One answer of a fake target. */
interface FakeAnswer {
  readonly completedAt: number;
}

/** A target in virtual time: slots, a queue and a slowdown. */
export class FakeTarget {
  private readonly slotFreeAt: number[];
  private readonly completions = new VirtualQueue();

  constructor(
    readonly worker: string,
    readonly failureDomain: string,
    readonly slots: number,
  ) {
    this.slotFreeAt = Array.from({length: slots}, () => 0);
  }

  /** Requests that are served or queued at an instant. */
  inFlightAt(now: number): number {
    this.completions.takeUntil(now);
    return this.completions.size;
  }

  /** Serves a request that arrives now and needs the given time of a slot. */
  serve(now: number, serviceMilliseconds: number): FakeAnswer {
    const earliest = Math.min(...this.slotFreeAt);
    const slot = this.slotFreeAt.indexOf(earliest);
    const completedAt = Math.max(now, earliest) + serviceMilliseconds;
    this.slotFreeAt[slot] = completedAt;
    this.completions.add({instant: completedAt});
    return {completedAt};
  }
}
