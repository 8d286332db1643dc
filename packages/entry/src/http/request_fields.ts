import {ChicoryspringError, type Clock} from '@chicoryspring/contracts';
import type {HttpRequest} from '@chicoryspring/http-server';

const DEADLINE_HEADER = 'chicoryspring-deadline-milliseconds';
const DEFAULT_DEADLINE_MILLISECONDS = 10_000;
const MAX_DEADLINE_MILLISECONDS = 60_000;

/** Reads request fields that several routes share. */
export class RequestFields {
  /** The instant until which the caller waits, or the entry still answers. */
  static deadline(clock: Clock, request: HttpRequest): number {
    const header = request.headers[DEADLINE_HEADER];
    const requested = Number(header ?? DEFAULT_DEADLINE_MILLISECONDS);
    if (requested > 0 && requested <= MAX_DEADLINE_MILLISECONDS) {
      const {answerDue = Infinity} = request;
      return Math.min(clock.now() + requested, answerDue);
    }
    const message = `${DEADLINE_HEADER} is not from 1 to ${MAX_DEADLINE_MILLISECONDS}`;
    throw new ChicoryspringError('malformed-request', message);
  }

  /** The revision that `If-Match` names. */
  static expectedRevision(request: HttpRequest): number {
    const header = request.headers['if-match']?.replaceAll('"', '');
    const revision = header ? Number(header) : Number.NaN;
    if (Number.isInteger(revision) && revision >= 0) return revision;
    const message = 'If-Match must name the revision to replace';
    throw new ChicoryspringError('malformed-request', message);
  }

  /** A boolean query parameter, `true` or `false`; false by default. */
  static flag(request: HttpRequest, name: string): boolean {
    const text = request.query[name] ?? 'false';
    if (text === 'true' || text === 'false') return text === 'true';
    const message = `${name} is neither true nor false`;
    throw new ChicoryspringError('malformed-request', message);
  }
}
