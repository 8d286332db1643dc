import type {IncomingMessage} from 'node:http';
import type polka from 'polka';

/** A message that the router has matched with a route. */
export type RoutedMessage = IncomingMessage &
  Readonly<Partial<Pick<polka.Request, 'params'>>> & {
    readonly query?: Readonly<Record<string, string>>;
  };
