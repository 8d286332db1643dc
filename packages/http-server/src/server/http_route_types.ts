import type {HttpAnswer} from '../answer/http_answer_types.js';
import type {HttpRequest} from '../request/http_request_types.js';

/** A method and path of a server with their handler. */
export interface HttpRoute {
  readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE';
  /** Path with `:name` for its parameters, for instance `/v1/tasks/:id`. */
  readonly path: string;
  /**
   * Decides by the headers alone whether the body of a request is read; throws to
   * refuse it. Without it every body within the limits is read.
   */
  readonly admit?: (headers: HttpRequest['headers']) => void;
  /** Handles a request; thrown errors are answered as `ERROR_TABLE` says. */
  readonly answer: (request: HttpRequest) => Promise<HttpAnswer>;
}
