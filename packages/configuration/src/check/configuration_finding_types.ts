/** One fault of a configuration set. */
export interface ConfigurationFinding {
  /** Kind and name of the object; empty for the set as a whole. */
  readonly object: string;
  /** Path of the field within the object. */
  readonly field: string;
  readonly message: string;
  /** An unsafe set is well formed; it is published only on demand. */
  readonly severity: 'invalid' | 'unsafe';
  /** Position of the object within the checked set, from 0. */
  readonly position?: number | undefined;
  /** Position of the other object that the finding is about. */
  readonly otherPosition?: number | undefined;
}
