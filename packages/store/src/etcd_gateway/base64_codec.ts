/** Converts keys and values to and from the base64 of the gateway's JSON. */
export class Base64Codec {
  static encode(text: string): string {
    return Buffer.from(text, 'utf8').toString('base64');
  }

  static decode(text: string): string {
    return Buffer.from(text, 'base64').toString('utf8');
  }

  /** Exclusive end of the range of keys that start with the prefix. */
  static prefixEnd(prefix: string): string {
    const last = prefix.charCodeAt(prefix.length - 1);
    return prefix.slice(0, -1) + String.fromCharCode(last + 1);
  }
}
