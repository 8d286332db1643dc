/** Holds while the key was last written at the revision; 0 means absent. */
export interface StoreCondition {
  readonly key: string;
  readonly revision: number;
}
