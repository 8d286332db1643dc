import type {Wakeup} from '@chicoryspring/contracts';

/** The configuration revisions that agents have confirmed to this entry. */
export class ConfirmedRevisions {
  private readonly revisions = new Map<string, number>();
  private readonly subscribers = new Set<Wakeup>();

  /** Takes in what an agent said; an older revision is ignored. */
  confirm(worker: string, revision: number): void {
    if (revision <= this.get(worker)) return;
    this.revisions.set(worker, revision);
    this.notify();
  }

  /** The highest revision that a worker's agent confirmed; 0 for none. */
  get(worker: string): number {
    return this.revisions.get(worker) ?? 0;
  }

  /** Lets every waiting confirmation look again. */
  notify(): void {
    for (const wakeup of this.subscribers) wakeup.notify();
  }

  /** Notifies the wakeup of each change until the result is called. */
  subscribe(wakeup: Wakeup): () => void {
    this.subscribers.add(wakeup);
    return () => this.subscribers.delete(wakeup);
  }
}
