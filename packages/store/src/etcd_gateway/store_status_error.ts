/** The store responded with an HTTP status other than 200. */
export class StoreStatusError extends Error {
  override readonly name = 'StoreStatusError';

  constructor(readonly status: number) {
    super(`status ${status}`);
  }
}
