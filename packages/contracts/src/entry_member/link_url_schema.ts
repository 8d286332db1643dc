import * as v from 'valibot';

const MAX_URL_CHARACTERS = 200;
const PROTOCOL = 'ws:';
/** A port to listen at, which can't be dialled. */
const ANY_PORT = '0';

/** Schema of a URL at which a process accepts links, `ws://HOST:PORT`. */
export const linkUrlSchema: v.GenericSchema<unknown, string> = v.pipe(
  v.string(),
  v.maxLength(MAX_URL_CHARACTERS, 'the URL of links is too long'),
  v.check(isLinkUrl, 'must be the URL of links, ws://HOST:PORT'),
);

function isLinkUrl(text: string): boolean {
  // Ports above 65535 are no URL.
  if (!URL.canParse(text)) return false;
  const {protocol, port, pathname, username, password, search, hash} = new URL(
    text,
  );
  const rest = `${username}${password}${search}${hash}`;
  const isBare = pathname === '/' && rest === '';
  return protocol === PROTOCOL && port !== ANY_PORT && isBare;
}
