/** A rack of workers in a failure domain. */
export interface RackObject {
  readonly kind: 'Rack';
  readonly name: string;
  readonly spec: {readonly failureDomain: string};
}
