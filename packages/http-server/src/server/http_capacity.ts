import type {Clock} from '@chicoryspring/contracts';
import {BodyBudget} from '../body/body_budget.js';
import {SmallChunkPacer} from '../body/small_chunk_pacer.js';
import {ConnectionPool} from '../connection/connection_pool.js';
import {readDescriptorLimit} from '../connection/descriptor_limit.js';
import type {HttpRefusal} from './http_refusal_types.js';

/** Budget of bodies in flight of a process that is created without its own. */
const DEFAULT_BODY_MEBIBYTES = 32;
const BYTES_PER_MEBIBYTE = 1024 * 1024;
/** Descriptors of files. */
const FILE_DESCRIPTORS = 200;
/** Descriptors of links, the store and the probes of a large fleet. */
const FLEET_DESCRIPTORS = 1_024;
/** Share of few descriptors that the clients may use. */
const LEAST_CLIENT_SHARE = 1 / 2;
/** More idle connections would need over 60 MiB. */
const MOST_CONNECTIONS = 4_096;
/** Connections of a listener that serves only probes or collectors. */
const PROBE_CONNECTIONS = 32;

/** Memory of bodies and connections that the listeners of a process share. */
export class HttpCapacity {
  private constructor(
    readonly bodies: BodyBudget,
    readonly pacer: SmallChunkPacer,
    readonly connections: ConnectionPool,
    /** Told of each client that is refused for a limit. */
    readonly onRefusal: (reason: HttpRefusal) => void,
    private readonly clock: Clock,
  ) {}

  /** The capacity of this process, below the limit of its descriptors. */
  static ofProcess(
    bodyMebibytes = DEFAULT_BODY_MEBIBYTES,
    clock: Clock,
    onRefusal: (reason: HttpRefusal) => void = () => undefined,
  ): HttpCapacity {
    const descriptors = readDescriptorLimit();
    const most = Math.min(
      MOST_CONNECTIONS,
      Math.max(
        Math.floor(descriptors * LEAST_CLIENT_SHARE),
        descriptors - FILE_DESCRIPTORS - FLEET_DESCRIPTORS,
      ),
    );
    return new HttpCapacity(
      new BodyBudget(bodyMebibytes * BYTES_PER_MEBIBYTE, clock),
      new SmallChunkPacer(clock),
      new ConnectionPool(most, clock, () => onRefusal('connections')),
      onRefusal,
      clock,
    );
  }

  /** The same budget, with connections that only probes use. */
  forProbes(): HttpCapacity {
    const {bodies, pacer, onRefusal, clock} = this;
    const connections = new ConnectionPool(PROBE_CONNECTIONS, clock, () =>
      onRefusal('connections'),
    );
    return new HttpCapacity(bodies, pacer, connections, onRefusal, clock);
  }
}
