import type {Clock} from '@chicoryspring/contracts';
import type {MemoryLink} from './memory_link.js';

/** Time after which an end that hears nothing closes the link. */
const LIVENESS_MILLISECONDS = 3_000;
const RETRY_MILLISECONDS = 200;

type LinkFault = 'cut' | 'agent-unheard' | 'owner-unheard' | 'slow' | 'reset';

/**
 * The connection of an agent to an entry: cut off one way or both, reset, or
 * slow, for a while. After a cut the agent joins again over a new link.
 */
export class UnreliableAgentLink {
  private current: MemoryLink;
  private faultDeadline = 0;
  /** Whether the agent process has ended. */
  private isClosed = false;
  /** Whether the agent joins again only when the fault has ended. */
  private isCutOff = false;

  constructor(
    private readonly clock: Clock,
    /** Joins the entry over a new link; returns the agent's end. */
    private readonly join: () => MemoryLink,
  ) {
    this.current = join();
  }

  /** Ends every fault now. */
  recover(): void {
    this.faultDeadline = 0;
    this.current.delayMilliseconds = 0;
    this.current.peer.delayMilliseconds = 0;
  }

  /** Closes the link, as the agent process has ended. */
  close(): void {
    this.isClosed = true;
    this.current.close();
  }

  /** Joins over a new link, at once or when the link is no longer cut off. */
  reopen(): void {
    this.isClosed = false;
    if (!this.isCutOff) this.current = this.join();
  }

  /** Harms the link until the deadline; a link that is harmed stays so. */
  async harm(
    fault: LinkFault,
    deadline: number,
    delayMilliseconds: number,
  ): Promise<void> {
    const {clock, current} = this;
    if (clock.now() < this.faultDeadline) return;
    this.faultDeadline = deadline;
    if (fault === 'slow')
      return await this.slowDown(current, delayMilliseconds);
    this.isCutOff = true;
    if (fault === 'reset') return await this.rejoinAfterFault();
    current.isCut = fault === 'cut' || fault === 'agent-unheard';
    current.peer.isCut = fault === 'cut' || fault === 'owner-unheard';
    await clock.sleepUntil(clock.now() + LIVENESS_MILLISECONDS);
    await this.rejoinAfterFault();
  }

  /**
   * The entry is suspended until the deadline. The agent gives the link up if it
   * hears nothing for too long, and joins again once the entry goes on.
   */
  async outlastSuspension(deadline: number): Promise<void> {
    const {clock, current} = this;
    const liveness = clock.now() + LIVENESS_MILLISECONDS;
    await clock.sleepUntil(Math.min(deadline, liveness));
    if (liveness < deadline) current.close();
    await clock.sleepUntil(deadline);
    this.rejoinIfGivenUp();
  }

  /** Gives the link up, as its other end has heard nothing for too long. */
  giveUp(): void {
    this.current.close();
  }

  /** Joins again if the link was given up and nothing else prevents it. */
  rejoinIfGivenUp(): void {
    if (!this.isClosed && !this.isCutOff && !this.current.isOpen)
      this.current = this.join();
  }

  /** Gives the link up, and joins over a new one when the fault has ended. */
  private async rejoinAfterFault(): Promise<void> {
    const {clock} = this;
    this.current.close();
    while (clock.now() < this.faultDeadline)
      await clock.sleepUntil(clock.now() + RETRY_MILLISECONDS);
    this.isCutOff = false;
    if (!this.isClosed) this.current = this.join();
  }

  private async slowDown(link: MemoryLink, delayMilliseconds: number) {
    link.peer.delayMilliseconds = delayMilliseconds;
    while (this.clock.now() < this.faultDeadline)
      await this.clock.sleepUntil(this.clock.now() + RETRY_MILLISECONDS);
    link.peer.delayMilliseconds = 0;
  }
}
