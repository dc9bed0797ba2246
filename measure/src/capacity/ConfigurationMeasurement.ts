/**
 * How soon a change of a table is in force, and what it costs to tell it, by the table's size: at
 * eight entries alone, and with two hundred more subscribers at the same store.
 */
import type { Route } from '@hornbeampond/schema';
import { encodeFrame } from '@hornbeampond/transport';
import type { ProcessCluster } from '../processes/ProcessCluster.js';
import { fitLine, type Point } from './fitLine.js';
import { Measurement, type MeasurementContext, type MeasurementResult } from './Measurement.js';
import { median } from './median.js';
import { readUsage } from './readUsage.js';
import { SubscriberCrowd } from './SubscriberCrowd.js';
import { waitUntil } from './waitUntil.js';
import { makePlace, makePool, makeRoute, places, withCluster } from './withCluster.js';

const ENTRIES = 8;
const SUBSCRIBERS = 200;
const ROW_COUNTS = [10, 100, 1000];
const CHANGES = 3;
const pool = 'buylist';

interface ConfigurationRow {
  readonly [column: string]: number;
  readonly subscribers: number;
  readonly rows: number;
  readonly frameBytes: number;
  /** From sending the change to its being in force at the last of the entries. */
  readonly entriesMilliseconds: number;
  readonly crowdMilliseconds: number;
  readonly storeMillisecondsOfProcessor: number;
  readonly entryMillisecondsOfProcessor: number;
}

function makeRows(count: number, change: string): Route[] {
  return Array.from({ length: count }, (_, position) =>
    makeRoute({ name: `route-${position}`, pathPrefix: `/route-${position}/${change}`, pool }),
  );
}

function countFrameBytes(rows: readonly Route[]): number {
  const empty = { revision: 1, rows: [] };
  const configuration = { revision: 1, routes: { revision: 1, rows }, pools: empty };
  return encodeFrame({ type: 'push', body: { type: 'configuration', configuration } }).length;
}

/** When an entry put the revision in force, from its log. */
function findApplied(cluster: ProcessCluster, entry: number, revision: number) {
  const { lines } = cluster.find(`entry-${entry}`);
  return lines.find((line) => line.event === 'configurationApplied' && line.revision === revision);
}

class ChangeBench {
  constructor(
    private readonly cluster: ProcessCluster,
    private readonly crowd: SubscriberCrowd,
    private readonly subscribers: number,
  ) {}

  async measure(rows: number): Promise<ConfigurationRow> {
    await this.change(rows, 'first');
    const before = await this.readProcessor();
    const changes: Awaited<ReturnType<ChangeBench['change']>>[] = [];
    for (let number = 1; number <= CHANGES; number += 1) {
      changes.push(await this.change(rows, `${number}`));
    }
    const after = await this.readProcessor();
    return {
      subscribers: this.subscribers,
      rows,
      frameBytes: countFrameBytes(makeRows(rows, '1')),
      entriesMilliseconds: median(changes.map(({ entries }) => entries)),
      crowdMilliseconds: median(changes.map(({ crowd }) => crowd)),
      storeMillisecondsOfProcessor: ((after.store - before.store) * 1000) / CHANGES,
      entryMillisecondsOfProcessor: ((after.entry - before.entry) * 1000) / CHANGES,
    };
  }

  private async change(rows: number, name: string) {
    const { cluster } = this;
    const operator = cluster.operator(1);
    const { revision: baseRevision, configurationRevision } = await operator.getTable('routes');
    const changeId = `${this.subscribers}-${rows}-${name}`;
    const table = 'routes' as const;
    const sentAt = Date.now();
    await operator.putTable({ table, baseRevision, changeId, rows: makeRows(rows, name) });
    const revision = configurationRevision + 1;
    const crowdAt = await this.crowd.waitForRevision(revision);
    const applied = () =>
      Array.from({ length: ENTRIES }, (_, entry) => findApplied(cluster, entry + 1, revision));
    await waitUntil(() => applied().every((line) => line !== undefined), 'a change');
    await operator.close();
    const times = applied().map((line) => Date.parse(String(line?.time)));
    return {
      entries: Math.max(...times) - sentAt,
      crowd: this.subscribers === 0 ? 0 : crowdAt - sentAt,
    };
  }

  /** Of the last entry, for the first one also takes the operator's calls. */
  private async readProcessor(): Promise<{ readonly store: number; readonly entry: number }> {
    const store = await readUsage(this.cluster, 'store-1');
    const entry = await readUsage(this.cluster, `entry-${ENTRIES}`);
    return { store: store.processorSeconds, entry: entry.processorSeconds };
  }
}

async function measureCrowd(
  cluster: ProcessCluster,
  subscribers: number,
  progress: (text: string) => void,
): Promise<ConfigurationRow[]> {
  const crowd = new SubscriberCrowd(cluster, subscribers);
  await crowd.waitForRevision(1);
  const bench = new ChangeBench(cluster, crowd, subscribers);
  const rows: ConfigurationRow[] = [];
  for (const count of ROW_COUNTS) {
    progress(`${subscribers} subscribers besides the entries, ${count} rows`);
    rows.push(await bench.measure(count));
  }
  crowd.close();
  return rows;
}

function toResult(
  alone: readonly ConfigurationRow[],
  crowded: readonly ConfigurationRow[],
): MeasurementResult {
  const fit = (rows: readonly ConfigurationRow[], column: string, title: string, unit: string) => ({
    title,
    unit,
    ...fitLine(rows.map((row): Point => [row.rows, row[column] ?? 0])),
  });
  const crowdTitle = `with ${SUBSCRIBERS} subscribers more`;
  return {
    sizes: `${ROW_COUNTS.join('/')} routes, ${ENTRIES} entries, 0 and ${SUBSCRIBERS} subscribers more, ${CHANGES} changes each`,
    tables: [{ title: 'changes of the routes table', rows: [...alone, ...crowded] }],
    slopes: [
      fit(alone, 'frameBytes', 'one push', 'bytes per row'),
      fit(alone, 'entriesMilliseconds', 'entries alone', 'ms to in force per row'),
      fit(crowded, 'entriesMilliseconds', crowdTitle, 'ms to in force at entries per row'),
      fit(crowded, 'crowdMilliseconds', crowdTitle, 'ms to the last subscriber per row'),
      fit(alone, 'storeMillisecondsOfProcessor', 'store', 'processor ms per row'),
      fit(crowded, 'storeMillisecondsOfProcessor', `store ${crowdTitle}`, 'processor ms per row'),
      fit(alone, 'entryMillisecondsOfProcessor', 'entry', 'processor ms per row'),
    ],
    comparisons: alone.map((row, position) => ({
      title: `${row.rows} rows in force at the entries, ${crowdTitle} against alone`,
      unit: 'ms',
      baseline: row.entriesMilliseconds,
      measured: crowded[position]?.entriesMilliseconds ?? 0,
    })),
  };
}

export class ConfigurationMeasurement extends Measurement {
  override readonly name = 'configuration';

  override readonly summary =
    'time to a table change in force and bytes to tell it, by rows and subscribers';

  override async run({ progress }: MeasurementContext): Promise<MeasurementResult> {
    const options = {
      stores: places(1),
      entries: places(ENTRIES),
      controllers: [],
      fakes: { services: [makePlace(pool, 1)] },
      pools: [makePool(pool, 'plainService', 1)],
      routes: makeRows(1, 'start'),
      pollMilliseconds: 1000,
    };
    return withCluster(options, async (cluster) => {
      const alone = await measureCrowd(cluster, 0, progress);
      const crowded = await measureCrowd(cluster, SUBSCRIBERS, progress);
      return toResult(alone, crowded);
    });
  }
}
