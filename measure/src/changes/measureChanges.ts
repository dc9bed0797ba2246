/**
 * Table changes on real processes while one store and one entry are away: how fast they go, how
 * long the two need to catch up, and whether any change was lost, reverted or doubled.
 */
import { setTimeout as wait } from 'node:timers/promises';
import type { EntryStatus, OperatorClient } from '@hornbeampond/ctl-app';
import { request } from 'undici';
import { RevisionWatch } from '../failures/RevisionWatch.js';
import { clusterKeys, ProcessCluster } from '../processes/ProcessCluster.js';
import { smallCluster, smallRoutes } from '../processes/smallCluster.js';

export interface ChangeRunOptions {
  /** Number of changes put while the store and the entry are away. */
  readonly changes: number;
  /** Called with each step as it begins. */
  onStep(text: string): void;
}

export interface ChangeRunResult {
  readonly changes: number;
  readonly changesPerSecond: number;
  /** Longest time that one change took, and that of the change behind each lost leader. */
  readonly slowestMilliseconds: number;
  readonly afterKillMilliseconds: number;
  readonly afterGracefulStopMilliseconds: number;
  /** From the start of the processes until they have the newest revision. */
  readonly storeBackMilliseconds: number;
  readonly entryBackMilliseconds: number;
  /** These must all be 0. */
  readonly mustBeZero: {
    readonly lost: number;
    readonly reverted: number;
    readonly doubled: number;
  };
}

const AFTER_REPAIR_CHANGES = 20;
const RESEND_EACH = 10;
const PATIENCE_MILLISECONDS = 30_000;
const LOOK_MILLISECONDS = 10;
const FIRST_LIMIT = 1000;

interface AcceptedChange {
  readonly number: number;
  readonly baseRevision: number;
  readonly revision: number;
}

class ChangeRun {
  private readonly accepted: AcceptedChange[] = [];

  private readonly durations: number[] = [];

  private revision = 0;

  constructor(
    private readonly cluster: ProcessCluster,
    private readonly options: ChangeRunOptions,
  ) {}

  async run(): Promise<ChangeRunResult> {
    const { cluster, options } = this;
    const operator = cluster.operator(1);
    const watch = new RevisionWatch(cluster, ['entry-1', 'entry-2']);
    const watching = watch.run();
    const first = await operator.getTable('routes');
    this.revision = first.revision;

    const leader = await this.findLeader();
    options.onStep(`${leader}, which leads, and entry-2 are killed`);
    await Promise.all([cluster.find(leader).kill(), cluster.find('entry-2').kill()]);
    const afterKillMilliseconds = await this.put(operator);

    options.onStep(`${options.changes} changes`);
    const startedAt = performance.now();
    for (let count = 1; count < options.changes; count += 1) await this.put(operator);
    const seconds = (performance.now() - startedAt) / 1000;

    options.onStep('both are started again');
    const [storeBackMilliseconds, entryBackMilliseconds] = await Promise.all([
      this.bringBack(leader),
      this.bringBack('entry-2'),
    ]);

    const next = await this.findLeader();
    options.onStep(`${next}, which leads now, is stopped gracefully right after the repair`);
    await cluster.find(next).terminate();
    const afterGracefulStopMilliseconds = await this.put(operator);
    for (let count = 0; count < AFTER_REPAIR_CHANGES; count += 1) await this.put(operator);

    const mustBeZero = await this.judge(operator, first.configurationRevision, watch);
    watch.stop();
    await watching;
    await operator.close();
    return {
      changes: this.accepted.length,
      changesPerSecond: (options.changes - 1) / seconds,
      slowestMilliseconds: Math.max(...this.durations),
      afterKillMilliseconds,
      afterGracefulStopMilliseconds,
      storeBackMilliseconds,
      entryBackMilliseconds,
      mustBeZero,
    };
  }

  /** Puts the next change and says how long it took. */
  private async put(operator: OperatorClient): Promise<number> {
    const startedAt = performance.now();
    const number = this.accepted.length + 1;
    const baseRevision = this.revision;
    this.revision = await this.send(operator, number, baseRevision);
    this.accepted.push({ number, baseRevision, revision: this.revision });
    const duration = performance.now() - startedAt;
    this.durations.push(duration);
    return duration;
  }

  private async send(
    operator: OperatorClient,
    number: number,
    baseRevision: number,
  ): Promise<number> {
    const rows = smallRoutes.map((route) => ({
      ...route,
      limits: { ...route.limits, inProgressPerWorkspace: FIRST_LIMIT + number },
    }));
    const changeId = `measured-${number}`;
    return operator.putTable({ table: 'routes', baseRevision, changeId, rows });
  }

  /** Starts a process and measures until it has the newest revision in force. */
  private async bringBack(name: string): Promise<number> {
    const startedAt = performance.now();
    await this.cluster.restart(name);
    await this.waitUntil(`${name} is up to date`, async () => {
      const status = await this.readStatus(name);
      if (name.startsWith('entry')) return status.configurationRevision === this.revision;
      return status.stores[0]?.configurationRevision === this.revision;
    });
    return performance.now() - startedAt;
  }

  private async findLeader(): Promise<string> {
    let leader: string | undefined;
    await this.waitUntil('a store leads', async () => {
      const { stores } = await this.readStatus('entry-1');
      const leading = stores.filter(({ role }) => role === 'leader');
      leader = leading.sort((a, b) => b.term - a.term)[0]?.instance;
      return leader !== undefined;
    });
    return leader ?? '';
  }

  private async readStatus(name: string) {
    const response = await request(`${this.cluster.operatorsUrl(name)}/status`, {
      headers: { authorization: `Bearer ${clusterKeys.operator}` },
    });
    return (await response.body.json()) as EntryStatus;
  }

  private async waitUntil(what: string, look: () => Promise<boolean>): Promise<void> {
    const endsAt = performance.now() + PATIENCE_MILLISECONDS;
    while (!(await look())) {
      if (performance.now() > endsAt) throw new Error(`not in time: ${what}`);
      await wait(LOOK_MILLISECONDS);
    }
  }

  /**
   * Each accepted change raises the revision by one, so a count that is off shows a change that
   * was lost or run twice. Changes sent again must get the revision that they got first.
   */
  private async judge(operator: OperatorClient, firstRevision: number, watch: RevisionWatch) {
    this.options.onStep('changes are sent again under their change ids');
    let wrongResends = 0;
    for (const { number, baseRevision, revision } of this.accepted) {
      if (number % RESEND_EACH !== 0) continue;
      const again = await this.send(operator, number, baseRevision).catch(() => 0);
      if (again !== revision) wrongResends += 1;
    }
    const table = await operator.getTable('routes');
    const grown = table.configurationRevision - firstRevision;
    const limits = table.rows[0]?.limits as { readonly inProgressPerWorkspace: number } | undefined;
    const isLastInForce = limits?.inProgressPerWorkspace === FIRST_LIMIT + this.accepted.length;
    const missing = Math.max(0, this.accepted.length - grown);
    return {
      lost: missing + wrongResends + (isLastInForce ? 0 : 1),
      reverted: watch.reverted.length,
      doubled: Math.max(0, grown - this.accepted.length),
    };
  }
}

/** Starts the cluster, runs the changes and ends every process it started. */
export async function measureChanges(options: ChangeRunOptions): Promise<ChangeRunResult> {
  const place = { dataCentre: 'wien-a' };
  const cluster = await ProcessCluster.start({
    ...smallCluster,
    stores: [place, place, place],
    entries: [place, place],
  });
  try {
    return await new ChangeRun(cluster, options).run();
  } finally {
    await cluster.stop();
  }
}
