/**
 * Why a client outside the limits was refused: an error kind of its body, or what its
 * connection was closed for.
 */
export type HttpRefusal =
  | 'body-too-large'
  | 'body-too-slow'
  | 'overloaded'
  | 'connections'
  | 'requests-in-progress';
