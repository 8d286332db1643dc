import {JSONRPCErrorCode, JSONRPCErrorException} from 'json-rpc-2.0';
import {
  ChicoryspringError,
  ERROR_TABLE,
  toChicoryspringError,
  type ErrorKind,
} from '@chicoryspring/contracts';

/** JSON-RPC code of an error that the application defines. */
const APPLICATION_ERROR_CODE = -32000;

/** JSON-RPC code of a call whose link closed before the response. */
const NO_ANSWER_CODE = 0;

/**
 * Error kinds for codes that the JSON-RPC library sets.
 *
 * Only codes of a message that was rejected before its handler ran map to a
 * kind that says that nothing ran.
 */
const KIND_OF_CODE: ReadonlyMap<number, ErrorKind> = new Map([
  [NO_ANSWER_CODE, 'link-closed'],
  [JSONRPCErrorCode.ParseError, 'malformed-message'],
  [JSONRPCErrorCode.InvalidRequest, 'malformed-message'],
  [JSONRPCErrorCode.MethodNotFound, 'malformed-message'],
]);

interface ErrorData {
  readonly kind: ErrorKind;
  readonly details: readonly string[];
}

function isErrorData(data: unknown): data is ErrorData {
  const kind = (data as {readonly kind?: unknown} | undefined)?.kind;
  return typeof kind === 'string' && kind in ERROR_TABLE;
}

/** Converts errors to JSON-RPC errors and back, with kind and details. */
export class LinkErrorCodec {
  static encode(thrown: unknown): JSONRPCErrorException {
    const error = toChicoryspringError(thrown);
    const data: ErrorData = {kind: error.kind, details: error.details};
    return new JSONRPCErrorException(
      error.message,
      APPLICATION_ERROR_CODE,
      data,
    );
  }

  static decode(thrown: unknown): ChicoryspringError {
    if (thrown instanceof ChicoryspringError) return thrown;
    if (!(thrown instanceof JSONRPCErrorException)) {
      return toChicoryspringError(thrown);
    }
    if (isErrorData(thrown.data)) {
      const {kind, details} = thrown.data;
      return new ChicoryspringError(kind, thrown.message, details);
    }
    const kind = KIND_OF_CODE.get(thrown.code) ?? 'internal';
    return new ChicoryspringError(kind, thrown.message);
  }
}
