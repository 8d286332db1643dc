import {createHash, timingSafeEqual} from 'node:crypto';
import {ChicoryspringError} from '@chicoryspring/contracts';
import type {CallerObject} from '@chicoryspring/configuration';
import type {Caller} from './caller_types.js';

const BEARER = 'Bearer ';

/** Recognizes callers by the hashes of their bearer tokens. */
export class CallerAuthenticator {
  constructor(private readonly callers: () => readonly CallerObject[]) {}

  /** The caller of an authorization header, or `unauthenticated`. */
  authenticate(header: string | undefined): Caller {
    if (!header?.startsWith(BEARER)) {
      throw new ChicoryspringError('unauthenticated', 'a token is required');
    }
    const token = header.slice(BEARER.length);
    const shown = createHash('sha256').update(token).digest();
    const found = this.callers().find(caller =>
      timingSafeEqual(shown, Buffer.from(caller.spec.tokenHash, 'hex')),
    );
    if (found) return {name: found.name, ...found.spec};
    throw new ChicoryspringError('unauthenticated', 'the token is not known');
  }
}
