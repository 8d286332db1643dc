/** A failure domain; no work starts in it while it is out of service. */
export interface FailureDomainObject {
  readonly kind: 'FailureDomain';
  readonly name: string;
  readonly spec: {
    readonly inService: boolean;
    readonly region?: string | undefined;
  };
}
