import {MemoryLink} from '../jobs/memory_link.js';
import type {NetworkProcess} from './network_process_types.js';

interface OpenLink {
  readonly ends: ReadonlySet<string>;
  readonly link: MemoryLink;
}

/** Links in memory between processes, any two of which can be cut off. */
export class MemoryNetwork {
  private readonly listening = new Map<string, NetworkProcess>();
  private readonly cutPairs = new Set<string>();
  private links: readonly OpenLink[] = [];

  /** Accepts links for a process at a URL. */
  listen(url: string, process: NetworkProcess): void {
    this.listening.set(url, process);
  }

  /** Ends a process: closes its links and accepts none for it. */
  end(process: NetworkProcess): void {
    for (const [url, one] of this.listening)
      if (one === process) this.listening.delete(url);
    this.closeWhere(ends => ends.has(process.name));
  }

  /** Opens a link from a process; undefined if nothing answers there. */
  connect(from: NetworkProcess, url: string): MemoryLink | undefined {
    const to = this.listening.get(url);
    if (!to || this.cutPairs.has(pairOf(from.name, to.name))) return undefined;
    const [link] = MemoryLink.pair(from, to);
    this.links = this.links.filter(one => one.link.isOpen);
    this.links = [...this.links, {ends: new Set([from.name, to.name]), link}];
    return link;
  }

  /** Cuts two processes off from each other; their links break. */
  cut(one: string, other: string): void {
    this.cutPairs.add(pairOf(one, other));
    this.closeWhere(ends => ends.has(one) && ends.has(other));
  }

  join(one: string, other: string): void {
    this.cutPairs.delete(pairOf(one, other));
  }

  /** Ends every cut. */
  joinAll(): void {
    this.cutPairs.clear();
  }

  private closeWhere(isMeant: (ends: ReadonlySet<string>) => boolean): void {
    for (const {ends, link} of this.links) if (isMeant(ends)) link.close();
  }
}

function pairOf(one: string, other: string): string {
  return [one, other].sort().join(' ');
}
