/** A value of the store stand-in; keys and values stay base64. */
export interface StoredValue {
  readonly key: string;
  readonly value: string;
  readonly revision: number;
  readonly lease: string;
}
