import type {HttpServer} from '@chicoryspring/http-server';

/** What an entry serves besides its own interface. */
export interface EntryDrainOptions {
  /** Servers whose requests the entry still answers. */
  readonly fronts?: readonly HttpServer[];
  /** Whether its requests are passed on over links of agents. */
  readonly usesAgentLinks?: boolean;
}
