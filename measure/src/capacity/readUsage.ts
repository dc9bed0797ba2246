/** What a process of a cluster has used since its start, from its metrics and the system. */
import { readFileSync } from 'node:fs';
import { request } from 'undici';
import type { ProcessCluster } from '../processes/ProcessCluster.js';

export interface Usage {
  readonly processorSeconds: number;
  readonly residentBytes: number;
  readonly frames: number;
  readonly frameBytes: number;
  /**
   * Read and written in system calls: framed connections, HTTP and log lines, but also the wake-ups
   * between a process's own threads, which add some KB/s while it is young.
   */
  readonly callBytes: number;
}

export interface UsageRate {
  /** In percent of one core. */
  readonly corePercent: number;
  readonly residentMegabytes: number;
  readonly framesPerSecond: number;
  readonly frameBytesPerSecond: number;
  readonly callBytesPerSecond: number;
}

const BYTES_PER_MEGABYTE = 1024 * 1024;

/** Sums the samples of one metric over its labels. */
export function sumSamples(text: string, metric: string): number {
  return text
    .split('\n')
    .filter((line) => line.startsWith(`${metric} `) || line.startsWith(`${metric}{`))
    .reduce((sum, line) => sum + Number(line.slice(line.lastIndexOf(' '))), 0);
}

function readCallBytes(pid: number | undefined): number {
  const text = readFileSync(`/proc/${pid}/io`, 'utf8');
  return [...text.matchAll(/^[rw]char: (\d+)$/gm)].reduce(
    (sum, [, bytes]) => sum + Number(bytes),
    0,
  );
}

async function readMetrics(cluster: ProcessCluster, name: string): Promise<string> {
  const response = await request(`${cluster.operatorsUrl(name)}/metrics`);
  return response.body.text();
}

function toUsage(text: string, callBytes: number): Usage {
  return {
    processorSeconds: sumSamples(text, 'process_cpu_seconds_total'),
    residentBytes: sumSamples(text, 'process_resident_memory_bytes'),
    frames: sumSamples(text, 'hornbeampond_frames_total'),
    frameBytes: sumSamples(text, 'hornbeampond_frame_bytes_total'),
    callBytes,
  };
}

export async function readUsage(cluster: ProcessCluster, name: string): Promise<Usage> {
  const text = await readMetrics(cluster, name);
  return toUsage(text, readCallBytes(cluster.find(name).pid));
}

export async function wait(milliseconds: number): Promise<void> {
  await new Promise((resolve) => {
    setTimeout(resolve, milliseconds);
  });
}

/** Rates over a span in which nothing is asked of the process. */
export async function readRate(
  cluster: ProcessCluster,
  name: string,
  milliseconds: number,
): Promise<UsageRate> {
  const first = await readUsage(cluster, name);
  const begin = performance.now();
  await wait(milliseconds);
  // Before the metrics are read again, for their own bytes are not the process's own traffic.
  const callBytes = readCallBytes(cluster.find(name).pid);
  const last = toUsage(await readMetrics(cluster, name), callBytes);
  const seconds = (performance.now() - begin) / 1000;
  return {
    corePercent: ((last.processorSeconds - first.processorSeconds) / seconds) * 100,
    residentMegabytes: last.residentBytes / BYTES_PER_MEGABYTE,
    framesPerSecond: (last.frames - first.frames) / seconds,
    frameBytesPerSecond: (last.frameBytes - first.frameBytes) / seconds,
    callBytesPerSecond: (last.callBytes - first.callBytes) / seconds,
  };
}

export function meanRate(rates: readonly UsageRate[]): UsageRate {
  const mean = (read: (rate: UsageRate) => number) =>
    rates.reduce((sum, rate) => sum + read(rate), 0) / rates.length;
  return {
    corePercent: mean((rate) => rate.corePercent),
    residentMegabytes: mean((rate) => rate.residentMegabytes),
    framesPerSecond: mean((rate) => rate.framesPerSecond),
    frameBytesPerSecond: mean((rate) => rate.frameBytesPerSecond),
    callBytesPerSecond: mean((rate) => rate.callBytesPerSecond),
  };
}
