/** The store answered with an HTTP status that is not a success. */
export class StoreStatusError extends Error {
  override readonly name = 'StoreStatusError';

  constructor(readonly status: number) {
    super(`status ${status}`);
  }
}
