/** One fault of a configuration set. */
export interface ConfigurationFinding {
  /** Kind and name of the object. */
  readonly object: string;
  /** Path of the field within the object. */
  readonly field: string;
  readonly message: string;
}
