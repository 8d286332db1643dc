/** A change that watches see. */
export interface StoreEvent {
  readonly type: 'PUT' | 'DELETE';
  readonly key: string;
  readonly value: string;
  readonly revision: number;
}
