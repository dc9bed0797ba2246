/** What must be known of a run to compare its figures with another's. */
import { readFileSync } from 'node:fs';
import { availableParallelism, loadavg } from 'node:os';

export interface RunDescription {
  readonly measurement: string;
  readonly seed: number;
  readonly sizes: string;
  readonly node: string;
  readonly package: string;
  readonly processors: number;
  /** Of the last minute, before and after: others may use the machine at the same time. */
  readonly loadBefore: number;
  readonly loadAfter: number;
  readonly seconds: number;
}

export function readPackageVersion(): string {
  const file = new URL('../../package.json', import.meta.url);
  return (JSON.parse(readFileSync(file, 'utf8')) as { readonly version: string }).version;
}

export function readLoad(): number {
  return loadavg()[0] ?? 0;
}

export function countProcessors(): number {
  return availableParallelism();
}
