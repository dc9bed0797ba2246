/**
 * The failure run: real processes on loopback, callers in closed loops, and one failure after the
 * other while the tables keep changing. It counts what must never happen.
 */
import { setTimeout as wait } from 'node:timers/promises';
import type { Route } from '@hornbeampond/schema';
import { ProcessCluster } from '../processes/ProcessCluster.js';
import { smallRoutes } from '../processes/smallCluster.js';
import { Caller } from './Caller.js';
import { makeFailureCluster, serviceNames } from './failureCluster.js';
import { RevisionWatch } from './RevisionWatch.js';
import { Tally } from './Tally.js';

const CALLERS = 24;
const TABLE_CHANGE_MILLISECONDS = 500;

export interface FailureRunOptions {
  readonly stores: 3 | 5;
  /** Time between two failures. */
  readonly stepMilliseconds: number;
  /** Called with each failure as it is brought about. */
  onStep(text: string): void;
}

export interface FailureRunResult {
  readonly begun: number;
  readonly whole: number;
  readonly refusedByKind: Readonly<Record<string, number>>;
  readonly unknown: number;
  readonly resent: number;
  /** These must all be 0. */
  readonly mustBeZero: {
    readonly wrongAnswers: number;
    readonly lost: number;
    readonly doubled: number;
    readonly wrongNotRun: number;
    readonly revertedRevisions: number;
  };
  readonly tableChanges: number;
  readonly newestRevision: number;
}

interface ServiceReport {
  readonly runs: readonly { readonly idempotencyKey?: string }[];
}

export class FailureRun {
  private readonly tally = new Tally();

  private stopped = false;

  private tableChanges = 0;

  /** Entries that the balancer sends callers to. */
  private readonly balanced = new Set<string>();

  private nextEntry = 0;

  constructor(
    private readonly cluster: ProcessCluster,
    private readonly options: FailureRunOptions,
  ) {}

  async run(): Promise<FailureRunResult> {
    const names = Array.from({ length: 8 }, (_, position) => `entry-${position + 1}`);
    names.forEach((name) => this.balanced.add(name));
    const watch = new RevisionWatch(this.cluster, names);
    const callers = Array.from({ length: CALLERS }, (_, number) => this.startCaller(number));
    const watching = watch.run();
    const changing = this.changeTables();
    await this.bringAboutFailures();
    this.stopped = true;
    await Promise.all([...callers, changing]);
    watch.stop();
    await watching;
    return this.judge(watch);
  }

  private async startCaller(number: number): Promise<void> {
    const caller = new Caller({
      name: `caller-${number}`,
      tally: this.tally,
      pickEntry: () => this.pickEntry(),
      isStopped: () => this.stopped,
    });
    await caller.run();
  }

  private pickEntry(): string {
    const names = [...this.balanced];
    this.nextEntry += 1;
    const name = names[this.nextEntry % names.length] ?? 'entry-1';
    return this.cluster.callersUrl(Number(name.slice('entry-'.length)));
  }

  /** Puts the routes table again and again, each time with another limit. */
  private async changeTables(): Promise<void> {
    while (!this.stopped) {
      const entry = [...this.balanced][this.tableChanges % this.balanced.size] ?? 'entry-1';
      const client = this.cluster.operator(Number(entry.slice('entry-'.length)));
      try {
        const { revision } = await client.getTable('routes');
        const rows: Route[] = smallRoutes.map((route) => ({
          ...route,
          limits: { ...route.limits, inProgressPerWorkspace: 1000 + this.tableChanges },
        }));
        const changeId = `change-${this.tableChanges}`;
        await client.putTable({ table: 'routes', baseRevision: revision, changeId, rows });
        this.tableChanges += 1;
      } catch {
        // No quorum, or the entry is being stopped; the next change goes elsewhere.
      }
      await client.close().catch(() => {});
      await this.pause(TABLE_CHANGE_MILLISECONDS);
    }
  }

  private async bringAboutFailures(): Promise<void> {
    const { cluster } = this;
    await this.step('all is well', async () => {});
    await this.step('entry-3 is stopped gracefully', async () => {
      this.balanced.delete('entry-3');
      await cluster.find('entry-3').terminate();
    });
    await this.step('entry-3 is back', async () => {
      await cluster.restart('entry-3');
      this.balanced.add('entry-3');
    });
    await this.step('entry-6 is killed', async () => {
      await cluster.find('entry-6').kill();
      this.balanced.delete('entry-6');
    });
    await this.step('store-2 is killed', async () => cluster.find('store-2').kill());
    await this.step('an engine gets notice', async () =>
      cluster.control('platform', 'giveNotice', {
        instance: 'engine-stpoelten-1',
        milliseconds: 1500,
      }),
    );
    await this.step('an engine is killed', async () => cluster.control('engine-wien-a-1', 'die'));
    await this.step('store-2 and entry-6 are back', async () => {
      await cluster.restart('store-2');
      await cluster.restart('entry-6');
      this.balanced.add('entry-6');
    });
    await this.step('eisenstadt is cut off', async () => cluster.setCut('eisenstadt', true));
    await this.step('the cut lasts', async () => {});
    await this.step('the cut is healed', async () => cluster.setCut('eisenstadt', false));
    await this.step('controller-1 is frozen', async () => cluster.find('controller-1').freeze());
    await this.step('controller-1 goes on', async () => cluster.find('controller-1').thaw());
    await this.step('store-1 loses its disk', async () => {
      await cluster.find('store-1').kill();
      cluster.loseDisk('store-1');
      await cluster.restart('store-1');
    });
    await this.step('store-3 is killed right after the repair', async () =>
      cluster.find('store-3').kill(),
    );
    await this.step('store-3 is back', async () => cluster.restart('store-3'));
  }

  private async step(text: string, bringAbout: () => Promise<void>): Promise<void> {
    this.options.onStep(text);
    await bringAbout();
    await this.pause(this.options.stepMilliseconds);
  }

  private async pause(milliseconds: number): Promise<void> {
    await wait(milliseconds);
  }

  private async judge(watch: RevisionWatch): Promise<FailureRunResult> {
    const { tally, tableChanges } = this;
    const runsByKey = await this.readRuns();
    const doubled = [...runsByKey.values()].filter((runs) => runs > 1).length;
    const wrongNotRun = [...tally.toldByKey].filter(
      ([key, told]) => told === 'notRun' && !tally.unsureKeys.has(key) && runsByKey.has(key),
    ).length;
    return {
      begun: tally.begun,
      whole: tally.whole,
      refusedByKind: Object.fromEntries(tally.refusals),
      unknown: tally.unknown,
      resent: tally.resent,
      mustBeZero: {
        wrongAnswers: tally.wrongAnswers,
        lost: tally.lost,
        doubled,
        wrongNotRun,
        revertedRevisions: watch.reverted.length,
      },
      tableChanges,
      newestRevision: Math.max(0, ...watch.newest.values()),
    };
  }

  private async readRuns(): Promise<Map<string, number>> {
    const runsByKey = new Map<string, number>();
    for (const name of serviceNames) {
      const report = (await this.cluster.inspect(name)) as unknown as ServiceReport;
      report.runs.forEach(({ idempotencyKey }) => {
        if (idempotencyKey === undefined) return;
        runsByKey.set(idempotencyKey, (runsByKey.get(idempotencyKey) ?? 0) + 1);
      });
    }
    return runsByKey;
  }
}

/** Starts the cluster, runs the failures and ends every process it started. */
export async function measureFailures(options: FailureRunOptions): Promise<FailureRunResult> {
  const cluster = await ProcessCluster.start(makeFailureCluster(options.stores));
  try {
    return await new FailureRun(cluster, options).run();
  } finally {
    await cluster.stop();
  }
}
