/**
 * What relaying costs an entry: processor time for a token and for a request, memory for an open
 * stream, and how much later the first token comes than from the engine itself.
 */
import { build, type Histogram } from 'hdr-histogram-js';
import { Agent, request } from 'undici';
import { findFreePort } from '../processes/findFreePorts.js';
import { clusterKeys, type ProcessCluster } from '../processes/ProcessCluster.js';
import { fitLine, type Point } from './fitLine.js';
import { Measurement, type MeasurementContext, type MeasurementResult } from './Measurement.js';
import { readUsage, wait } from './readUsage.js';
import { makePlace, makePool, makeRoute, places, withCluster } from './withCluster.js';

const STREAMS = 200;
const TOKENS_EACH = [20, 100, 200];
const REQUEST_COUNTS = [400, 800, 1600];
const REQUESTS_AT_A_TIME = 40;
const OPEN_STREAMS = [10, 100, 400];
const OPEN_TOKENS = 40;
const LATENCY_REQUESTS = 300;
const WARM_UP_TOKENS = 50;
const WARM_UP_REQUESTS = 800;
const HOLD_MILLISECONDS = 1500;
const CONCURRENCY = 1000;
const MICROSECONDS_PER_SECOND = 1_000_000;
const BYTES_PER_KIBIBYTE = 1024;

/** Milliseconds from one token to the next, by model; each has an engine of its own. */
const tokenDelays = { immediate: 0, steady: 20, slow: 100 } as const;
type Model = keyof typeof tokenDelays;
const models = Object.keys(tokenDelays) as Model[];

interface Ask {
  readonly origin: string;
  readonly model: Model;
  readonly tokens: number;
  readonly content: string;
  onFirstToken?(): void;
}

class StreamLoad {
  /** Answers that were no whole stream; a measurement with any is not one. */
  failures = 0;

  private readonly agent = new Agent({ connections: CONCURRENCY, bodyTimeout: 0 });

  /** Asks for a stream and reads it to its end. */
  async ask({ origin, model, tokens, content, onFirstToken }: Ask): Promise<void> {
    const response = await request(`${origin}/v1/chat/completions`, {
      method: 'POST',
      dispatcher: this.agent,
      headers: { authorization: `Bearer ${clusterKeys.workspace}` },
      body: JSON.stringify({
        model,
        stream: true,
        max_tokens: tokens,
        messages: [{ role: 'user', content }],
      }),
    });
    let tail = '';
    let waiting = true;
    for await (const chunk of response.body) {
      tail = String(chunk).slice(-200);
      if (waiting && String(chunk).includes('"content"')) {
        waiting = false;
        onFirstToken?.();
      }
    }
    if (response.statusCode !== 200 || !tail.includes('[DONE]')) this.failures += 1;
  }

  async askMany(count: number, ask: Omit<Ask, 'content'>): Promise<void> {
    const asks = Array.from({ length: count }, async (_, position) =>
      this.ask({ ...ask, content: `Card ${position}, ${ask.tokens} tokens` }),
    );
    await Promise.all(asks);
  }

  async close(): Promise<void> {
    await this.agent.close();
  }
}

interface Bench {
  readonly cluster: ProcessCluster;
  readonly load: StreamLoad;
  readonly entryOrigin: string;
  readonly engineOrigins: Readonly<Record<string, string>>;
}

async function measureTokens({ cluster, load, entryOrigin }: Bench) {
  const ask = { origin: entryOrigin, model: 'steady' as const };
  await load.askMany(STREAMS, { ...ask, tokens: WARM_UP_TOKENS });
  const rows: { tokens: number; processorSeconds: number; wallSeconds: number }[] = [];
  for (const tokens of TOKENS_EACH) {
    const before = await readUsage(cluster, 'entry-1');
    const begin = performance.now();
    await load.askMany(STREAMS, { ...ask, tokens });
    const wallSeconds = (performance.now() - begin) / 1000;
    const after = await readUsage(cluster, 'entry-1');
    const processorSeconds = after.processorSeconds - before.processorSeconds;
    rows.push({ tokens: tokens * STREAMS, processorSeconds, wallSeconds });
  }
  return rows.map((row) => ({
    streams: STREAMS,
    ...row,
    tokensPerCoreSecond: row.tokens / row.processorSeconds,
  }));
}

/** Short answers, some at a time, so that what is fitted is the request rather than its tokens. */
async function measureRequests({ cluster, load, entryOrigin }: Bench) {
  const ask = { origin: entryOrigin, model: 'immediate' as const, tokens: 1 };
  const askInTurns = async (count: number) => {
    for (let asked = 0; asked < count; asked += REQUESTS_AT_A_TIME) {
      await load.askMany(REQUESTS_AT_A_TIME, ask);
    }
  };
  await askInTurns(WARM_UP_REQUESTS);
  const rows: { requests: number; processorSeconds: number }[] = [];
  for (const requests of REQUEST_COUNTS) {
    const before = await readUsage(cluster, 'entry-1');
    await askInTurns(requests);
    const after = await readUsage(cluster, 'entry-1');
    rows.push({ requests, processorSeconds: after.processorSeconds - before.processorSeconds });
  }
  return rows;
}

async function measureMemory({ cluster, load, entryOrigin }: Bench) {
  const rows: { openStreams: number; residentBytes: number }[] = [];
  for (const openStreams of OPEN_STREAMS) {
    const ended = load.askMany(openStreams, {
      origin: entryOrigin,
      model: 'slow',
      tokens: OPEN_TOKENS,
    });
    await wait(HOLD_MILLISECONDS);
    const { residentBytes } = await readUsage(cluster, 'entry-1');
    rows.push({ openStreams, residentBytes });
    await ended;
  }
  return rows;
}

async function timeFirstToken(load: StreamLoad, origin: string, content: string) {
  const begin = performance.now();
  let microseconds = 0;
  await load.ask({
    origin,
    model: 'immediate',
    tokens: 2,
    content,
    onFirstToken: () => {
      microseconds = Math.round((performance.now() - begin) * 1000);
    },
  });
  return microseconds;
}

/** Direct calls and calls through the entry take turns, so that both meet the same machine. */
async function measureLatency({ load, entryOrigin, engineOrigins }: Bench) {
  const direct = build();
  const relayed = build();
  for (let number = 0; number < LATENCY_REQUESTS; number += 1) {
    const content = `Lot ${number}`;
    direct.recordValue(await timeFirstToken(load, engineOrigins.immediate ?? '', content));
    relayed.recordValue(await timeFirstToken(load, entryOrigin, content));
  }
  return { direct, relayed };
}

function compare(percentile: number, direct: Histogram, relayed: Histogram) {
  return {
    title: `first token through an entry against the engine itself, p${percentile}`,
    unit: 'microseconds',
    baseline: direct.getValueAtPercentile(percentile),
    measured: relayed.getValueAtPercentile(percentile),
  };
}

async function measureBench(bench: Bench, progress: (text: string) => void) {
  // First, for a process keeps the memory that later, larger loads make it take.
  progress('memory by open streams');
  const memory = await measureMemory(bench);
  progress('processor time by tokens');
  const tokens = await measureTokens(bench);
  progress('processor time by requests');
  const requests = await measureRequests(bench);
  progress('first token');
  const { direct, relayed } = await measureLatency(bench);
  if (bench.load.failures > 0) throw new Error(`${bench.load.failures} streams were not whole`);
  return { tokens, requests, memory, direct, relayed };
}

type BenchFigures = Awaited<ReturnType<typeof measureBench>>;

function toResult({ tokens, requests, memory, direct, relayed }: BenchFigures): MeasurementResult {
  const byTokens = fitLine(
    tokens.map((row): Point => [row.tokens, row.processorSeconds * MICROSECONDS_PER_SECOND]),
  );
  const byRequests = fitLine(
    requests.map((row): Point => [row.requests, row.processorSeconds * MICROSECONDS_PER_SECOND]),
  );
  const byStreams = fitLine(
    memory.map((row): Point => [row.openStreams, row.residentBytes / BYTES_PER_KIBIBYTE]),
  );
  return {
    sizes: `${STREAMS} streams of ${TOKENS_EACH.join('/')} tokens, ${REQUEST_COUNTS.join('/')} requests, ${OPEN_STREAMS.join('/')} open streams`,
    tables: [
      { title: 'processor time of the entry', rows: tokens },
      { title: 'memory of the entry', rows: memory },
      { title: 'processor time of the entry by requests of one token', rows: requests },
    ],
    slopes: [
      { title: 'entry', unit: 'processor microseconds per token', ...byTokens },
      { title: 'entry', unit: 'processor microseconds per request', ...byRequests },
      { title: 'entry', unit: 'KiB resident per open stream', ...byStreams },
    ],
    comparisons: [compare(50, direct, relayed), compare(99, direct, relayed)],
  };
}

export class RelayMeasurement extends Measurement {
  override readonly name = 'relay';

  override readonly summary =
    'processor time, memory and added delay of an entry that relays streams';

  override async run({ progress }: MeasurementContext): Promise<MeasurementResult> {
    const engines = await Promise.all(
      models.map(async (model) => ({
        ...makePlace(model, 1),
        model,
        port: await findFreePort(),
        concurrency: CONCURRENCY,
        tokenDelayMilliseconds: tokenDelays[model],
      })),
    );
    const options = {
      stores: places(1),
      entries: places(1),
      controllers: [],
      fakes: { engines },
      pools: models.map((model) => makePool(model, 'modelEngine', 1)),
      routes: models.map((model) =>
        makeRoute({ name: model, pathPrefix: '/v1/chat/completions', pool: model, model }),
      ),
      pollMilliseconds: 1000,
    };
    return withCluster(options, async (cluster) => {
      const load = new StreamLoad();
      const engineOrigins = Object.fromEntries(
        engines.map(({ model, port }) => [model, `http://127.0.0.1:${port}`]),
      );
      const bench = { cluster, load, entryOrigin: cluster.callersUrl(1), engineOrigins };
      const measured = await measureBench(bench, progress);
      await load.close();
      return toResult(measured);
    });
  }
}
