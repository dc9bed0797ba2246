/**
 * What claims cost: claims a second through one and through three stores, one at a time and
 * together, and how much longer a claimed call takes than one that may be repeated.
 */
import { build, type Histogram } from 'hdr-histogram-js';
import { request } from 'undici';
import { clusterKeys, type ProcessCluster } from '../processes/ProcessCluster.js';
import { ClaimLoad } from './ClaimLoad.js';
import { fitLine, type Point } from './fitLine.js';
import { Measurement, type MeasurementContext, type MeasurementResult } from './Measurement.js';
import { readUsage } from './readUsage.js';
import { makePlace, makePool, makeRoute, places, withCluster } from './withCluster.js';

const STORE_COUNTS = [1, 3];
const TOGETHER = [1, 8, 64, 256];
const SPAN_MILLISECONDS = 2000;
const WARM_UP_CLAIMS = 200;
const CALLS = 200;
const pool = 'buylist';

interface ClaimsRow {
  readonly [column: string]: number;
  readonly stores: number;
  readonly together: number;
  readonly claimsPerSecond: number;
  readonly batchMilliseconds: number;
  readonly batchMillisecondsP99: number;
  /** Of all stores. */
  readonly processorMicrosecondsPerClaim: number;
}

async function sumProcessorSeconds(cluster: ProcessCluster): Promise<number> {
  const names = cluster.storeAddresses.map(({ instance }) => instance);
  const usages = await Promise.all(names.map(async (name) => readUsage(cluster, name)));
  return usages.reduce((sum, { processorSeconds }) => sum + processorSeconds, 0);
}

async function measureTogether(
  cluster: ProcessCluster,
  load: ClaimLoad,
  together: number,
): Promise<ClaimsRow> {
  const histogram = build();
  const before = await sumProcessorSeconds(cluster);
  const begin = performance.now();
  let claims = 0;
  while (performance.now() - begin < SPAN_MILLISECONDS) {
    const batchBegin = performance.now();
    await load.runTogether(together);
    histogram.recordValue(Math.round((performance.now() - batchBegin) * 1000));
    claims += together;
  }
  const seconds = (performance.now() - begin) / 1000;
  const processorSeconds = (await sumProcessorSeconds(cluster)) - before;
  return {
    stores: cluster.storeAddresses.length,
    together,
    claimsPerSecond: claims / seconds,
    batchMilliseconds: histogram.getValueAtPercentile(50) / 1000,
    batchMillisecondsP99: histogram.getValueAtPercentile(99) / 1000,
    processorMicrosecondsPerClaim: (processorSeconds * 1_000_000) / claims,
  };
}

async function call(cluster: ProcessCluster, path: string, key: string): Promise<number> {
  const begin = performance.now();
  const response = await request(`${cluster.callersUrl(1)}${path}`, {
    method: 'POST',
    headers: { authorization: `Bearer ${clusterKeys.workspace}`, 'idempotency-key': key },
    body: JSON.stringify({ lot: key }),
  });
  await response.body.dump();
  if (response.statusCode !== 200) throw new Error(`${path} answered ${response.statusCode}`);
  return Math.round((performance.now() - begin) * 1000);
}

/** The two kinds of call take turns, so that both meet the same machine. */
async function measureCalls(cluster: ProcessCluster) {
  const plain = build();
  const claimed = build();
  for (let number = 0; number < CALLS; number += 1) {
    plain.recordValue(await call(cluster, '/lookups', `lookup-${number}`));
    claimed.recordValue(await call(cluster, '/offers', `offer-${number}`));
  }
  return { plain, claimed };
}

function compare(stores: number, percentile: number, plain: Histogram, claimed: Histogram) {
  return {
    title: `claimed call against one that may be repeated, ${stores} store(s), p${percentile}`,
    unit: 'microseconds',
    baseline: plain.getValueAtPercentile(percentile),
    measured: claimed.getValueAtPercentile(percentile),
  };
}

async function measureStores(stores: number, progress: (text: string) => void) {
  const options = {
    stores: places(stores),
    entries: places(1),
    controllers: [],
    fakes: { services: [makePlace(pool, 1)] },
    pools: [makePool(pool, 'plainService', 1)],
    routes: [
      makeRoute({ name: 'lookups', pathPrefix: '/lookups', pool }),
      makeRoute({ name: 'offers', pathPrefix: '/offers', pool, idempotent: false }),
    ],
    pollMilliseconds: 1000,
  };
  return withCluster(options, async (cluster) => {
    const load = new ClaimLoad(cluster, 'measure');
    await load.runTogether(WARM_UP_CLAIMS);
    const rows: ClaimsRow[] = [];
    for (const together of TOGETHER) {
      progress(`${stores} store(s), ${together} together`);
      rows.push(await measureTogether(cluster, load, together));
    }
    load.close();
    progress(`${stores} store(s), calls`);
    const { plain, claimed } = await measureCalls(cluster);
    const points = rows.map((row): Point => [row.together, row.batchMilliseconds]);
    const unit = 'ms of a batch per claim in it';
    return {
      rows,
      slope: { title: `${stores} store(s)`, unit, ...fitLine(points) },
      comparisons: [50, 99].map((percentile) => compare(stores, percentile, plain, claimed)),
    };
  });
}

export class ClaimsMeasurement extends Measurement {
  override readonly name = 'claims';

  override readonly summary =
    'claims a second and the delay of a claimed call, through one and three stores';

  override async run({ progress }: MeasurementContext): Promise<MeasurementResult> {
    const measured: Awaited<ReturnType<typeof measureStores>>[] = [];
    for (const stores of STORE_COUNTS) measured.push(await measureStores(stores, progress));
    return {
      sizes: `${STORE_COUNTS.join('/')} stores, ${TOGETHER.join('/')} claims together, answers of 1 KiB, ${CALLS} calls of each kind`,
      tables: [
        { title: 'claims (opened and settled)', rows: measured.flatMap(({ rows }) => rows) },
      ],
      slopes: measured.map(({ slope }) => slope),
      comparisons: measured.flatMap(({ comparisons }) => comparisons),
    };
  }
}
