import type {Wakeup} from '@chicoryspring/contracts';

/** The configuration revisions that agents have confirmed to this entry. */
export class ConfirmedRevisions {
  private readonly revisions = new Map<string, number>();
  private readonly subscribers = new Set<Wakeup>();

  /** Records the revision of an agent; an older revision is ignored. */
  confirm(worker: string, revision: number): void {
    if (revision <= this.get(worker)) return;
    this.revisions.set(worker, revision);
    this.notify();
  }

  /** The highest revision that a worker's agent confirmed; 0 for none. */
  get(worker: string): number {
    return this.revisions.get(worker) ?? 0;
  }

  /** Wakes every subscriber to check again. */
  notify(): void {
    for (const wakeup of this.subscribers) wakeup.notify();
  }

  /** Subscribes a wakeup to changes; returns a function to unsubscribe. */
  subscribe(wakeup: Wakeup): () => void {
    this.subscribers.add(wakeup);
    return () => this.subscribers.delete(wakeup);
  }
}
