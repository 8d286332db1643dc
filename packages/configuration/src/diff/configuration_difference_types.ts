/** How one object differs between two sets. */
export interface ConfigurationDifference {
  /** Kind and name of the object. */
  readonly object: string;
  readonly change: 'added' | 'removed' | 'changed';
  /** Fields that differ, with their values as JSON text. */
  readonly fields: readonly {
    readonly field: string;
    readonly before?: string | undefined;
    readonly after?: string | undefined;
  }[];
}
