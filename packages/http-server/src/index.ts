/** HTTP server for the requests of callers, operators and targets. */
export {type HttpLimits} from './server/http_limits_types.js';
export {DEFAULT_HTTP_LIMITS} from './server/default_http_limits.js';
export {type HttpRequest} from './request/http_request_types.js';
export {parseJsonBody} from './request/json_body.js';
export {type HttpAnswer} from './answer/http_answer_types.js';
export {jsonAnswer} from './answer/json_answer.js';
export {errorAnswer} from './answer/error_answer.js';
export {type HttpRoute} from './server/http_route_types.js';
export {type HttpRefusal} from './server/http_refusal_types.js';
export {HttpCapacity} from './server/http_capacity.js';
export {HttpServer} from './server/http_server.js';
export {type StopSummary} from './server/stop_summary_types.js';
