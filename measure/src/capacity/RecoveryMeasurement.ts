/** How long a killed store takes to come back, by the entries in its log. */
import type { ProcessCluster } from '../processes/ProcessCluster.js';
import { ClaimLoad } from './ClaimLoad.js';
import { fitLine, type Point } from './fitLine.js';
import { Measurement, type MeasurementContext, type MeasurementResult } from './Measurement.js';
import { median } from './median.js';
import { readUsage } from './readUsage.js';
import { waitUntil } from './waitUntil.js';
import { makePlace, makePool, makeRoute, places, withCluster } from './withCluster.js';

/** A snapshot is taken at 20,000 entries, so that no log is much longer. */
const LOG_ENTRIES = [500, 6000, 12_000, 18_000];
const ENTRIES_PER_CLAIM = 2;
const CLAIMS_TOGETHER = 250;
const RESTARTS = 3;
const pool = 'buylist';
const store = 'store-1';

interface RecoveryRow {
  readonly [column: string]: number;
  readonly logEntries: number;
  readonly readyMilliseconds: number;
  readonly leaderMilliseconds: number;
  readonly processorMilliseconds: number;
  readonly residentMegabytes: number;
}

async function fillLog(cluster: ProcessCluster, name: string, entries: number): Promise<void> {
  const load = new ClaimLoad(cluster, name);
  for (let written = 0; written < entries; written += CLAIMS_TOGETHER * ENTRIES_PER_CLAIM) {
    await load.runTogether(CLAIMS_TOGETHER);
  }
  load.close();
}

async function restartOnce(cluster: ProcessCluster): Promise<Omit<RecoveryRow, 'logEntries'>> {
  await cluster.find(store).kill();
  const begin = performance.now();
  await cluster.restart(store);
  const readyMilliseconds = performance.now() - begin;
  const { lines } = cluster.find(store);
  const leads = () =>
    lines.some(({ event, role }) => event === 'storeRoleChanged' && role === 'leader');
  await waitUntil(leads, 'a leader');
  const leaderMilliseconds = performance.now() - begin;
  const { processorSeconds, residentBytes } = await readUsage(cluster, store);
  return {
    readyMilliseconds,
    leaderMilliseconds,
    processorMilliseconds: processorSeconds * 1000,
    residentMegabytes: residentBytes / (1024 * 1024),
  };
}

async function measureRestarts(cluster: ProcessCluster, logEntries: number): Promise<RecoveryRow> {
  const restarts: Omit<RecoveryRow, 'logEntries'>[] = [];
  for (let number = 0; number < RESTARTS; number += 1) restarts.push(await restartOnce(cluster));
  const middle = (column: string) => median(restarts.map((restart) => restart[column] ?? 0));
  return {
    logEntries,
    readyMilliseconds: middle('readyMilliseconds'),
    leaderMilliseconds: middle('leaderMilliseconds'),
    processorMilliseconds: middle('processorMilliseconds'),
    residentMegabytes: middle('residentMegabytes'),
  };
}

export class RecoveryMeasurement extends Measurement {
  override readonly name = 'recovery';

  override readonly summary = 'time of a killed store to be back, by the length of its log';

  override async run({ progress }: MeasurementContext): Promise<MeasurementResult> {
    const options = {
      stores: places(1),
      entries: places(1),
      controllers: [],
      fakes: { services: [makePlace(pool, 1)] },
      pools: [makePool(pool, 'plainService', 1)],
      routes: [makeRoute({ name: 'offers', pathPrefix: '/offers', pool, idempotent: false })],
    };
    const rows = await withCluster(options, async (cluster) => {
      const measured: RecoveryRow[] = [];
      for (const logEntries of LOG_ENTRIES) {
        const written = measured.at(-1)?.logEntries ?? 0;
        progress(`${logEntries} entries`);
        await fillLog(cluster, `filler-${logEntries}`, logEntries - written);
        measured.push(await measureRestarts(cluster, logEntries));
      }
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
        fit('processorMilliseconds', 'processor ms'),
        fit('residentMegabytes', 'MiB resident'),
      ],
      comparisons: [
        {
          title: 'ready again, longest log against the shortest',
          unit: 'ms',
          baseline: shortest?.readyMilliseconds ?? 0,
          measured: longest?.readyMilliseconds ?? 0,
        },
      ],
    };
  }
}
