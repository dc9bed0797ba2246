/**
 * How long one killed store of three takes to come back, by the entries in its log: until it
 * serves, and until it has applied all that it had applied before.
 */
import type { StoreStatus } from '@hornbeampond/schema';
import { request } from 'undici';
import type { ProcessCluster } from '../processes/ProcessCluster.js';
import { ClaimLoad } from './ClaimLoad.js';
import { fitLine, type Point } from './fitLine.js';
import { Measurement, type MeasurementContext, type MeasurementResult } from './Measurement.js';
import { median } from './median.js';
import { readUsage, wait } from './readUsage.js';
import { makePlace, makePool, makeRoute, places, withCluster } from './withCluster.js';

/** A snapshot is taken at 20,000 entries, so that no log is much longer. */
const LOG_ENTRIES = [500, 6000, 12_000, 18_000];
const ENTRIES_PER_CLAIM = 2;
const CLAIMS_TOGETHER = 250;
const RESTARTS = 3;
const pool = 'buylist';
const store = 'store-3';
const STORES = 3;
const LOOK_MILLISECONDS = 10;
const CATCH_UP_MILLISECONDS = 20_000;

interface RecoveryRow {
  readonly [column: string]: number;
  readonly logEntries: number;
  readonly readyMilliseconds: number;
  readonly appliedMilliseconds: number;
  readonly processorMilliseconds: number;
  readonly residentMegabytes: number;
}

async function fillLog(load: ClaimLoad, entries: number): Promise<void> {
  for (let written = 0; written < entries; written += CLAIMS_TOGETHER * ENTRIES_PER_CLAIM) {
    await load.runTogether(CLAIMS_TOGETHER);
  }
}

async function readAppliedIndex(cluster: ProcessCluster): Promise<number> {
  const response = await request(`${cluster.operatorsUrl(store)}/status`);
  const { stores } = (await response.body.json()) as { readonly stores: readonly StoreStatus[] };
  return stores[0]?.appliedIndex ?? 0;
}

/** Claims go on meanwhile, as callers do: a store at rest is told nothing new. */
async function waitForApplied(
  cluster: ProcessCluster,
  load: ClaimLoad,
  index: number,
): Promise<void> {
  const endsAt = performance.now() + CATCH_UP_MILLISECONDS;
  while ((await readAppliedIndex(cluster)) < index) {
    await load.run();
    if (performance.now() > endsAt) throw new Error('the store did not catch up in time');
    await wait(LOOK_MILLISECONDS);
  }
}

async function restartOnce(
  cluster: ProcessCluster,
  load: ClaimLoad,
): Promise<Omit<RecoveryRow, 'logEntries'>> {
  const applied = await readAppliedIndex(cluster);
  await cluster.find(store).kill();
  const begin = performance.now();
  await cluster.restart(store);
  const readyMilliseconds = performance.now() - begin;
  await waitForApplied(cluster, load, applied);
  const appliedMilliseconds = performance.now() - begin;
  const { processorSeconds, residentBytes } = await readUsage(cluster, store);
  return {
    readyMilliseconds,
    appliedMilliseconds,
    processorMilliseconds: processorSeconds * 1000,
    residentMegabytes: residentBytes / (1024 * 1024),
  };
}

async function measureRestarts(
  cluster: ProcessCluster,
  load: ClaimLoad,
  logEntries: number,
): Promise<RecoveryRow> {
  const restarts: Omit<RecoveryRow, 'logEntries'>[] = [];
  for (let number = 0; number < RESTARTS; number += 1)
    restarts.push(await restartOnce(cluster, load));
  const middle = (column: string) => median(restarts.map((restart) => restart[column] ?? 0));
  return {
    logEntries,
    readyMilliseconds: middle('readyMilliseconds'),
    appliedMilliseconds: middle('appliedMilliseconds'),
    processorMilliseconds: middle('processorMilliseconds'),
    residentMegabytes: middle('residentMegabytes'),
  };
}

export class RecoveryMeasurement extends Measurement {
  override readonly name = 'recovery';

  override readonly summary = 'time of a killed store to be back, by the length of its log';

  override async run({ progress }: MeasurementContext): Promise<MeasurementResult> {
    const options = {
      stores: places(STORES),
      entries: places(1),
      controllers: [],
      fakes: { services: [makePlace(pool, 1)] },
      pools: [makePool(pool, 'plainService', 1)],
      routes: [makeRoute({ name: 'offers', pathPrefix: '/offers', pool, idempotent: false })],
    };
    const rows = await withCluster(options, async (cluster) => {
      const load = new ClaimLoad(cluster, 'filler');
      const measured: RecoveryRow[] = [];
      for (const logEntries of LOG_ENTRIES) {
        const written = measured.at(-1)?.logEntries ?? 0;
        progress(`${logEntries} entries`);
        await fillLog(load, logEntries - written);
        measured.push(await measureRestarts(cluster, load, logEntries));
      }
      load.close();
      return measured;
    });
    const fit = (column: string, unit: string) => {
      const points = rows.map((row): Point => [row.logEntries / 1000, row[column] ?? 0]);
      return { title: 'store', unit: `${unit} per 1,000 entries`, ...fitLine(points) };
    };
    const [shortest] = rows;
    const longest = rows.at(-1);
    return {
      sizes: `${LOG_ENTRIES.join('/')} log entries of claims, ${RESTARTS} restarts each`,
      tables: [{ title: 'restart after a kill (medians)', rows }],
      slopes: [
        fit('readyMilliseconds', 'ms to ready'),
        fit('appliedMilliseconds', 'ms to all applied again'),
        fit('processorMilliseconds', 'processor ms'),
        fit('residentMegabytes', 'MiB resident'),
      ],
      comparisons: [
        {
          title: 'all applied again, longest log against the shortest',
          unit: 'ms',
          baseline: shortest?.appliedMilliseconds ?? 0,
          measured: longest?.appliedMilliseconds ?? 0,
        },
      ],
    };
  }
}
