import type {Resources} from '@chicoryspring/contracts';

/** A team, whose quota bounds the total resources of its tasks. */
export interface TeamObject {
  readonly kind: 'Team';
  readonly name: string;
  readonly spec: {readonly quota: Resources; readonly mayBeUrgent: boolean};
}
