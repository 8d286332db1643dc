import type {Resources} from '@chicoryspring/contracts';

/** A team and the resources that its tasks may hold together. */
export interface TeamObject {
  readonly kind: 'Team';
  readonly name: string;
  readonly spec: {readonly quota: Resources; readonly mayBeUrgent: boolean};
}
