import type {HttpAnswer} from '../answer/http_answer_types.js';
import type {HttpRequest} from '../request/http_request_types.js';

/** One route of a server. */
export interface HttpRoute {
  readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE';
  /** Path with `:name` for its parts, for instance `/v1/tasks/:id`. */
  readonly path: string;
  readonly answer: (request: HttpRequest) => Promise<HttpAnswer>;
}
