/** Looks at the revision in force on every entry, again and again, and notes any that went back. */
import { setTimeout as wait } from 'node:timers/promises';
import { request } from 'undici';
import type { ProcessCluster } from '../processes/ProcessCluster.js';

const INTERVAL_MILLISECONDS = 150;
const LOOK_MILLISECONDS = 1000;

export class RevisionWatch {
  /** Newest revision seen at each entry, over its restarts. */
  readonly newest = new Map<string, number>();

  readonly reverted: string[] = [];

  private stopped = false;

  constructor(
    private readonly cluster: ProcessCluster,
    private readonly entries: readonly string[],
  ) {}

  async run(): Promise<void> {
    while (!this.stopped) {
      await Promise.all(this.entries.map(async (entry) => this.look(entry)));
      await wait(INTERVAL_MILLISECONDS);
    }
  }

  stop(): void {
    this.stopped = true;
  }

  private async look(entry: string): Promise<void> {
    let revision: number;
    try {
      const answer = await request(`${this.cluster.operatorsUrl(entry)}/metrics`, {
        headersTimeout: LOOK_MILLISECONDS,
      });
      const text = await answer.body.text();
      revision = Number(/^hornbeampond_configuration_revision (\d+)/m.exec(text)?.[1] ?? 0);
    } catch {
      // It is stopped, killed or frozen.
      return;
    }
    const newest = this.newest.get(entry) ?? 0;
    // An entry that has just started serves nothing before it has a configuration.
    if (revision > 0 && revision < newest) this.reverted.push(`${entry}: ${newest} to ${revision}`);
    this.newest.set(entry, Math.max(newest, revision));
  }
}
