import {ChicoryspringError} from '@chicoryspring/contracts';

/** Time for which a stop is remembered; a start takes far less to arrive. */
const RETENTION_MILLISECONDS = 600_000;

interface StoppedEpoch {
  readonly epoch: number;
  /** Local instant in milliseconds. */
  readonly rememberedUntil: number;
}

/** The highest stopped epoch of each task, so that a late start is rejected. */
export class StoppedEpochs {
  private readonly epochs = new Map<string, StoppedEpoch>();

  record(taskId: string, epoch: number, now: number): void {
    this.dropExpired(now);
    const highest = Math.max(epoch, this.epochs.get(taskId)?.epoch ?? 0);
    const rememberedUntil = now + RETENTION_MILLISECONDS;
    this.epochs.set(taskId, {epoch: highest, rememberedUntil});
  }

  /** Throws unless the epoch is higher than the ones that were stopped. */
  requireLater(taskId: string, epoch: number): void {
    const stopped = this.epochs.get(taskId)?.epoch ?? 0;
    if (epoch > stopped) return;
    const message = `${taskId} was stopped under epoch ${stopped}`;
    throw new ChicoryspringError('stale-epoch', message);
  }

  private dropExpired(now: number): void {
    for (const [taskId, {rememberedUntil}] of this.epochs) {
      if (rememberedUntil > now) return;
      this.epochs.delete(taskId);
    }
  }
}
