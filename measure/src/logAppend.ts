/**
 * Measures how many entries a second the log on disk takes: each entry with a sync of its own, and
 * entries that come in together, which share one.
 */
import { mkdtemp, rm } from 'node:fs/promises';
import { join } from 'node:path';
import { performance } from 'node:perf_hooks';
import { LogStore, type LogEntry } from '@hornbeampond/store-core';

const SPAN_MILLISECONDS = 2000;
const COMMAND_BYTES = 300;

export interface LogAppendFigure {
  readonly entriesTogether: number;
  readonly entriesPerSecond: number;
  readonly medianMilliseconds: number;
  readonly p99Milliseconds: number;
}

function makeEntry(index: number): LogEntry {
  const command = new Uint8Array(COMMAND_BYTES);
  return { index, term: 1, at: index, body: { type: 'command', command } };
}

function quantile(sorted: readonly number[], share: number): number {
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0;
}

async function writeTogether(store: LogStore, first: number, count: number): Promise<void> {
  const writes = Array.from({ length: count }, (_, offset) => {
    const index = first + offset;
    return store.write({ type: 'persist', batch: index, entries: [makeEntry(index)] });
  });
  await Promise.all(writes);
}

async function measureWrites(folder: string, entriesTogether: number): Promise<LogAppendFigure> {
  const store = await LogStore.open({
    folder,
    cluster: 'measure',
    instance: 'a',
    onNotice: () => {},
  });
  const latencies: number[] = [];
  const begin = performance.now();
  let index = 0;
  while (performance.now() - begin < SPAN_MILLISECONDS) {
    const asked = performance.now();
    await writeTogether(store, index + 1, entriesTogether);
    index += entriesTogether;
    latencies.push(performance.now() - asked);
  }
  const span = performance.now() - begin;
  await store.close();
  latencies.sort((a, b) => a - b);
  return {
    entriesTogether,
    entriesPerSecond: Math.round((index * 1000) / span),
    medianMilliseconds: Number(quantile(latencies, 0.5).toFixed(3)),
    p99Milliseconds: Number(quantile(latencies, 0.99).toFixed(3)),
  };
}

/** Measures on the disk that holds `parent`; what it writes there is removed again. */
export async function measureLogAppend(
  parent: string,
  sizes: readonly number[] = [1, 8, 64, 512],
): Promise<readonly LogAppendFigure[]> {
  const figures: LogAppendFigure[] = [];
  for (const size of sizes) {
    const folder = await mkdtemp(join(parent, 'log-append-'));
    figures.push(await measureWrites(folder, size));
    await rm(folder, { recursive: true });
  }
  return figures;
}
