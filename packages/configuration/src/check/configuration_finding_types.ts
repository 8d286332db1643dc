/** One problem of a configuration set. */
export interface ConfigurationFinding {
  /** Kind and name of the object; empty for the set as a whole. */
  readonly object: string;
  /** Path of the field within the object. */
  readonly field: string;
  readonly message: string;
  /** An unsafe set is well formed; publishing it needs `allowUnsafe`. */
  readonly severity: 'invalid' | 'unsafe';
  /** Position of the object within the checked set, from 0. */
  readonly position?: number | undefined;
  /** Position of the first object with the same kind and name. */
  readonly otherPosition?: number | undefined;
}
