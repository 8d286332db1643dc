/** A bare pass-through of `polka` and `undici`: the yardstick of the path. */
import polka from 'polka';
import {cac} from 'cac';
import {Pool} from 'undici';
import {text} from 'node:stream/consumers';

const HOST = '127.0.0.1';

const commandLine = cac('pass-through');
commandLine.option('--port <port>', 'Port');
commandLine.option('--target-urls <urls>', 'Addresses of the targets');
commandLine.option('--connections <count>', 'Connections to a target', {
  default: 64,
});
const {options} = commandLine.parse();
const connections = Number(options['connections']);
const pools = String(options['targetUrls'])
  .split(',')
  .map(url => new Pool(url, {connections}));
let sent = 0;

polka()
  .post('*', async (request, response) => {
    const pool = pools[sent % pools.length]!;
    sent += 1;
    const answer = await pool.request({
      method: 'POST',
      path: request.url,
      headers: {'content-type': request.headers['content-type'] ?? ''},
      body: await text(request),
    });
    const body = await answer.body.text();
    response.writeHead(answer.statusCode, {
      'content-type': String(answer.headers['content-type']),
      'content-length': Buffer.byteLength(body),
    });
    response.end(body);
  })
  .get('*', (_, response) => {
    response.end('{}');
  })
  .listen(Number(options['port']), HOST);
