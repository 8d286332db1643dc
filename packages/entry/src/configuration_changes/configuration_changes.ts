import {
  ChicoryspringError,
  toChicoryspringError,
  type ErrorKind,
} from '@chicoryspring/contracts';
import {
  checkConfiguration,
  checkSafety,
  type AuditTrail,
  type ConfigurationCheck,
  type ConfigurationFinding,
  type ConfigurationObject,
  type ConfigurationPublisher,
  type ConfigurationRevision,
  type FleetUsage,
  type PublicationRequest,
} from '@chicoryspring/configuration';
import type {LiveState} from '../live_state/live_state.js';

/**
 * Maximum number of attempts to take a failure domain out of service, or to
 * bring it back, in conflict with changes by other operators.
 */
const MAX_CONFLICTS = 20;
/** Errors that are about the submitted objects; only these are audited. */
const AUDITED_REFUSALS: ReadonlySet<ErrorKind> = new Set([
  'configuration-invalid',
  'configuration-unsafe',
  'revision-conflict',
]);

/** Changes that operators make to the configuration. */
export class ConfigurationChanges {
  constructor(
    private readonly live: LiveState,
    private readonly publisher: ConfigurationPublisher,
    private readonly audit: AuditTrail,
    private readonly usage: () => FleetUsage,
  ) {}

  /** Returns all findings of an object set, as a change of the active one. */
  check(candidates: readonly unknown[]): ConfigurationCheck {
    const checked = checkConfiguration(candidates);
    const {objects, findings} = checked;
    if (findings.length > 0) return checked;
    return {objects, findings: this.unsafeFindings(objects)};
  }

  /** Publishes a whole object set in place of the expected revision. */
  async replace(
    candidates: readonly unknown[],
    expectedRevision: number,
    author: string,
    allowUnsafe: boolean,
  ): Promise<ConfigurationRevision> {
    try {
      const {objects, findings} = checkConfiguration(candidates);
      requireNoBlockingFindings(findings, allowUnsafe);
      await this.requireRevision(expectedRevision);
      requireNoBlockingFindings(this.unsafeFindings(objects), allowUnsafe);
      return await this.publish({
        objects,
        expectedRevision,
        author,
        action: 'configuration',
        subject: 'configuration',
      });
    } catch (thrown) {
      await this.auditRefusal(thrown, expectedRevision, author);
      throw thrown;
    }
  }

  /**
   * Takes a failure domain out of service, or brings it back.
   *
   * Publishes nothing if the domain is already in that state, and returns the
   * active revision.
   */
  async setInService(
    name: string,
    inService: boolean,
    author: string,
    allowUnsafe: boolean,
  ): Promise<ConfigurationRevision> {
    for (let attempt = 1; ; attempt += 1) {
      await this.live.refreshConfiguration();
      const {current} = this.live.configuration;
      const before = current.document.objects;
      if (isInService(before, name) === inService) return current;
      const objects = before.map(one => withInService(one, name, inService));
      requireNoBlockingFindings(this.unsafeFindings(objects), allowUnsafe);
      try {
        return await this.publish({
          objects,
          expectedRevision: current.revision,
          author,
          action: inService ? 'bring-back' : 'take-out',
          subject: `FailureDomain/${name}`,
        });
      } catch (thrown) {
        const isLast = attempt >= MAX_CONFLICTS;
        if (!hasKind(thrown, 'revision-conflict') || isLast) throw thrown;
      }
    }
  }

  private unsafeFindings(
    after: readonly ConfigurationObject[],
  ): readonly ConfigurationFinding[] {
    const before = this.live.configuration.current.document.objects;
    return checkSafety({before, after}, this.usage());
  }

  private async publish(
    request: Omit<PublicationRequest, 'replaced'>,
  ): Promise<ConfigurationRevision> {
    const replaced = this.live.configuration.current.document.objects;
    const published = await this.publisher.publish({...request, replaced});
    // The watch reports it too; an outage now doesn't undo the publication.
    await this.live.refreshConfiguration().catch(() => undefined);
    return published;
  }

  private async requireRevision(expected: number): Promise<void> {
    await this.live.refreshConfiguration();
    const {revision, document} = this.live.configuration.current;
    if (revision === expected) return;
    const message = `revision ${revision} by ${document.author} is in force`;
    throw new ChicoryspringError('revision-conflict', message);
  }

  /** Adds a refused change to the audit trail, if the store is reachable. */
  private async auditRefusal(
    thrown: unknown,
    fromRevision: number,
    actor: string,
  ): Promise<void> {
    const {kind, message, details} = toChicoryspringError(thrown);
    if (!AUDITED_REFUSALS.has(kind)) return;
    const entry = {
      actor,
      action: 'configuration' as const,
      object: 'configuration',
      summary: [message, ...details].join('; '),
      fromRevision,
      outcome: kind,
    };
    // The caller needs the reason of the refusal, not the store's error.
    await this.audit.append([entry]).catch(() => undefined);
  }
}

/** Throws on an invalid finding, and on an unsafe one unless it is allowed. */
function requireNoBlockingFindings(
  findings: readonly ConfigurationFinding[],
  allowUnsafe: boolean,
): void {
  const blocking = findings.filter(
    one => one.severity === 'invalid' || !allowUnsafe,
  );
  if (blocking.length === 0) return;
  const isInvalid = blocking.some(one => one.severity === 'invalid');
  const kind = isInvalid ? 'configuration-invalid' : 'configuration-unsafe';
  const details = blocking.map(one =>
    `${one.object} ${one.field}: ${one.message}`.trim(),
  );
  const message = `${details.length} findings in the configuration`;
  throw new ChicoryspringError(kind, message, details);
}

/** Throws `unknown-object` without a failure domain of the name. */
function isInService(
  objects: readonly ConfigurationObject[],
  name: string,
): boolean {
  for (const object of objects) {
    if (object.kind !== 'FailureDomain' || object.name !== name) continue;
    return object.spec.inService;
  }
  const message = `there is no failure domain ${name}`;
  throw new ChicoryspringError('unknown-object', message);
}

function withInService(
  object: ConfigurationObject,
  name: string,
  inService: boolean,
): ConfigurationObject {
  if (object.kind !== 'FailureDomain' || object.name !== name) return object;
  return {...object, spec: {...object.spec, inService}};
}

function hasKind(thrown: unknown, kind: ErrorKind): boolean {
  return thrown instanceof ChicoryspringError && thrown.kind === kind;
}
