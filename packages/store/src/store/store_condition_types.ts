/** True if the key was last written at the revision; 0: the key is absent. */
export interface StoreCondition {
  readonly key: string;
  readonly revision: number;
}
