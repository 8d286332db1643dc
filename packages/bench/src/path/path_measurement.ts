import {build} from 'hdr-histogram-js';
import {Pool} from 'undici';
import {LocalFleetStarter} from '@chicoryspring/stand-ins/local/local_fleet_starter.js';

const BASE_PORT = 20_000;
const WARM_UP_REQUESTS = 500;
const MEASURED_REQUESTS = 3_000;
const MICROSECONDS_PER_MILLISECOND = 1_000;

interface PathFigures {
  readonly way: string;
  readonly p50Milliseconds: number;
  readonly p99Milliseconds: number;
}

/** Times a check through the whole path against the target alone. */
export async function measurePath(): Promise<readonly PathFigures[]> {
  const starter = new LocalFleetStarter({
    entries: 2,
    workers: 3,
    failureDomains: 3,
    basePort: BASE_PORT,
    shards: 8,
    slots: 8,
    connections: 64,
    serviceMilliseconds: 1,
  });
  try {
    const fleet = await starter.start();
    const token = `Bearer ${fleet.callerTokens['rangers']}`;
    const direct = fleet.targets[0]!.url;
    const through = fleet.entries[0]!.url;
    return [
      await measure('target alone', direct, token),
      await measure('whole path', through, token),
    ];
  } finally {
    await starter.stop();
  }
}

async function measure(
  way: string,
  url: string,
  authorization: string,
): Promise<PathFigures> {
  const pool = new Pool(url, {connections: 1});
  const histogram = build({numberOfSignificantValueDigits: 3});
  for (
    let count = 0;
    count < WARM_UP_REQUESTS + MEASURED_REQUESTS;
    count += 1
  ) {
    const started = performance.now();
    await sendCheck(pool, authorization);
    const took = performance.now() - started;
    if (count < WARM_UP_REQUESTS) continue;
    histogram.recordValue(Math.round(took * MICROSECONDS_PER_MILLISECOND));
  }
  await pool.close();
  const at = (percentile: number) =>
    histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MILLISECOND;
  return {way, p50Milliseconds: at(50), p99Milliseconds: at(99)};
}

async function sendCheck(pool: Pool, authorization: string): Promise<void> {
  const answer = await pool.request({
    method: 'POST',
    path: '/v1/services/records/requests',
    headers: {authorization, 'content-type': 'application/json'},
    body: '{"gauge":"B-17","centimetres":-12}',
  });
  await answer.body.dump();
}
