import type {ServerResponse} from 'node:http';
import type {HttpRequest} from './http_request_types.js';
import type {RoutedMessage} from './routed_message_types.js';

/** Creates the request that a route gets, once its body has been read. */
export function createHttpRequest(
  message: RoutedMessage,
  response: ServerResponse,
  body: string,
  answerDue: number | undefined,
): HttpRequest {
  return {
    headers: message.headers as HttpRequest['headers'],
    target: (message.url ?? '/').split('?', 1)[0]!,
    path: message.params ?? {},
    query: message.query ?? {},
    body,
    answerDue,
    get closed() {
      return closedSignal(response);
    },
  };
}

/**
 * A signal that aborts when the response closes; created only when a route
 * reads it.
 */
function closedSignal(response: ServerResponse): AbortSignal {
  const closing = new AbortController();
  if (response.destroyed) closing.abort();
  else response.on('close', () => closing.abort());
  return closing.signal;
}
