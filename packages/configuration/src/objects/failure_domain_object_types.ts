/** A failure domain; out of service it starts no work. */
export interface FailureDomainObject {
  readonly kind: 'FailureDomain';
  readonly name: string;
  readonly spec: {
    readonly inService: boolean;
    readonly region?: string | undefined;
  };
}
