import type {HttpAnswer} from '../answer/http_answer_types.js';
import type {HttpRequest} from '../request/http_request_types.js';

/** A method and path of a server with their handler. */
export interface HttpRoute {
  readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE';
  /** Path with `:name` for its parameters, for instance `/v1/tasks/:id`. */
  readonly path: string;
  /** Handles a request; thrown errors are answered as `ERROR_TABLE` says. */
  readonly answer: (request: HttpRequest) => Promise<HttpAnswer>;
}
