import type {Logger} from 'winston';
import type {StateChange} from './state_change_types.js';
import type {StateLog} from './state_log_types.js';

const LEVEL = 'info';

/** Writes JSON lines to standard output through winston. */
export class WinstonStateLog implements StateLog {
  private constructor(
    private readonly logger: Logger,
    private readonly commonFields: StateChange,
  ) {}

  /** Creates a log with common fields; imports the library only when called. */
  static async create(common: StateChange): Promise<WinstonStateLog> {
    const {default: winston} = await import('winston');
    const {combine, timestamp, json} = winston.format;
    const logger = winston.createLogger({
      level: LEVEL,
      format: combine(timestamp(), json()),
      transports: [new winston.transports.Console()],
    });
    return new WinstonStateLog(logger, common);
  }

  change(event: string, change: StateChange): void {
    this.logger.log({
      level: LEVEL,
      message: event,
      ...this.commonFields,
      ...change,
    });
  }
}
