import type {StateChange, StateLog} from '@chicoryspring/observability';

/** Lines that are kept of each event. */
const MAX_LINES = 100;

/** Keeps the last lines that are logged of each event. */
export class LineList implements StateLog {
  private readonly lines = new Map<string, readonly StateChange[]>();

  change(event: string, change: StateChange): void {
    const lines = [...this.linesOf(event), change];
    this.lines.set(event, lines.slice(-MAX_LINES));
  }

  linesOf(event: string): readonly StateChange[] {
    return this.lines.get(event) ?? [];
  }
}
