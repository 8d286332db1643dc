/** One problem of a configuration set. */
export interface ConfigurationFinding {
  /** Kind and name of the object; empty for the set as a whole. */
  readonly object: string;
  /** Path of the field within the object. */
  readonly field: string;
  readonly message: string;
  /**
   * An unsafe set is well formed; it is published only if the operator's
   * request sets `allowUnsafe`.
   */
  readonly severity: 'invalid' | 'unsafe';
  /** Position of the object within the checked set, from 0. */
  readonly position?: number | undefined;
  /** For a duplicate: position of the first object of that kind and name. */
  readonly otherPosition?: number | undefined;
}
