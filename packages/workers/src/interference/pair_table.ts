/** One value for each ordered pair of task classes. */
export class PairTable<Value> {
  private readonly rows = new Map<string, Map<string, Value>>();

  get(affected: string, other: string): Value | undefined {
    return this.rows.get(affected)?.get(other);
  }

  set(affected: string, other: string, value: Value): void {
    const row = this.rows.get(affected) ?? new Map<string, Value>();
    this.rows.set(affected, row);
    row.set(other, value);
  }
}
