/**
 * Measures the store's state machine: memory for each claim and table row, and commands a second.
 * Memory is the heap after collections at several sizes; the slope over sizes is what one more
 * costs, without what the process holds anyway.
 */
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import type { StoreCommand } from '@hornbeampond/schema';
import { applyCommand, MachineState, takeSnapshot } from '@hornbeampond/store-core';

export interface StoreMachineRow {
  readonly measured: string;
  readonly size: number;
  readonly value: number;
  readonly unit: string;
}

const CLAIM_SIZES = [20_000, 40_000, 60_000, 80_000] as const;
/** Below the bound on all answers together, where the curve bends. */
const ANSWERED_SIZES = [15_000, 30_000, 45_000, 60_000] as const;
const TABLE_SIZES = [500, 1000, 1500, 2000] as const;
const START = 1_700_000_000_000;
const EXPIRES_AFTER = 60_000;
const COMMANDS_EACH = 100_000;
const ANSWER_BYTES = 1024;

/** Slope of the least-squares line through the points. */
function fitSlope(points: readonly (readonly [number, number])[]): number {
  const mean = (values: readonly number[]): number =>
    values.reduce((sum, value) => sum + value, 0) / values.length;
  const meanX = mean(points.map(([x]) => x));
  const meanY = mean(points.map(([, y]) => y));
  const covariance = points.reduce((sum, [x, y]) => sum + (x - meanX) * (y - meanY), 0);
  const variance = points.reduce((sum, [x]) => sum + (x - meanX) ** 2, 0);
  return covariance / variance;
}

/** The collector, without the process having been started with `--expose-gc`. */
function exposeCollector(): () => void {
  setFlagsFromString('--expose-gc');
  return runInNewContext('gc') as () => void;
}

const collect = exposeCollector();

function heapBytes(): number {
  collect();
  collect();
  const { heapUsed, external, arrayBuffers } = process.memoryUsage();
  return heapUsed + Math.max(external, arrayBuffers);
}

function openCommand(position: number): StoreCommand {
  return {
    type: 'openClaim',
    workspace: `laden-${position % 5}`,
    key: `offer-${String(position).padStart(12, '0')}-3f1c9d`,
    digest: `digest-${String(position).padStart(40, '0')}`,
    holder: `entry-${position % 8}`,
    attemptId: `entry-${position % 8}-1700000000000-${position}`,
    expiresAfter: EXPIRES_AFTER,
  };
}

function settleCommand(position: number, answerBytes: number): StoreCommand {
  const body = new Uint8Array(answerBytes);
  const answer = { status: 201, headers: { 'content-type': 'application/json' }, body };
  return {
    type: 'settleClaim',
    workspace: `laden-${position % 5}`,
    key: `offer-${String(position).padStart(12, '0')}-3f1c9d`,
    attemptId: `entry-${position % 8}-1700000000000-${position}`,
    outcome: 'done',
    ...(answerBytes > 0 ? { answer } : {}),
  };
}

function runClaims(state: MachineState, claims: number, answerBytes: number): void {
  for (let position = 0; position < claims; position += 1) {
    applyCommand(state, { at: START + position, command: openCommand(position) });
    applyCommand(state, { at: START + position, command: settleCommand(position, answerBytes) });
  }
}

function poolRows(size: number): unknown[] {
  const instanceClass = { name: 'small', eurosPerHour: 0.12, reclaimable: true, concurrency: 8 };
  return Array.from({ length: size }, (_unused, position) => ({
    name: `pool-${position}`,
    kind: 'plainService',
    dataCentres: ['wien-a', 'wien-b', 'stpoelten', 'eisenstadt'],
    instanceClasses: [instanceClass, { ...instanceClass, name: 'large', reclaimable: false }],
    least: 1,
    most: 8,
  }));
}

function putPools(state: MachineState, rows: readonly unknown[], changeId: string): void {
  const baseRevision = state.configuration.pools.revision;
  const command: StoreCommand = { type: 'putTable', table: 'pools', baseRevision, changeId, rows };
  const result = applyCommand(state, { at: START, command });
  if (result.type !== 'tableAccepted') throw new Error(`refused: ${JSON.stringify(result)}`);
}

/** Heap that a state of each size takes, with the slope over the sizes as the last row. */
function measureMemory(
  measured: string,
  sizes: readonly number[],
  fill: (state: MachineState, size: number) => void,
): StoreMachineRow[] {
  const points = sizes.map((size) => {
    const before = heapBytes();
    const state = new MachineState();
    fill(state, size);
    const used = heapBytes() - before;
    // Keeps the state alive past the collection above.
    if (takeSnapshot(state).version === undefined) throw new Error('unreachable');
    return [size, used] as const;
  });
  const rows = points.map(([size, value]) => ({ measured, size, value, unit: 'bytes' }));
  const slope = Math.round(fitSlope(points) * 1000);
  return [...rows, { measured: `${measured}, slope`, size: 1000, value: slope, unit: 'bytes/1k' }];
}

function perSecond(
  measured: string,
  size: number,
  commands: number,
  run: () => void,
): StoreMachineRow {
  const start = process.hrtime.bigint();
  run();
  const seconds = Number(process.hrtime.bigint() - start) / 1e9;
  return { measured, size, value: Math.round(commands / seconds), unit: 'commands/s' };
}

function claimThroughput(claimsBefore: number): StoreMachineRow {
  const state = new MachineState();
  runClaims(state, claimsBefore, 0);
  const commands = Array.from({ length: COMMANDS_EACH / 2 }, (_unused, added) => [
    openCommand(claimsBefore + added),
    settleCommand(claimsBefore + added, ANSWER_BYTES),
  ]).flat();
  const at = START + claimsBefore;
  return perSecond('open and settle a claim', claimsBefore, commands.length, () => {
    commands.forEach((command) => applyCommand(state, { at, command }));
  });
}

function tableThroughput(size: number): StoreMachineRow {
  const state = new MachineState();
  const changes = 20;
  const rows = poolRows(size);
  return perSecond('put a pools table', size, changes, () => {
    for (let change = 0; change < changes; change += 1) putPools(state, rows, `change-${change}`);
  });
}

/** Runs all measurements; the rows are printed as they are. */
export async function measureStoreMachine(): Promise<StoreMachineRow[]> {
  claimThroughput(0);
  return [
    ...measureMemory('claims without answers', CLAIM_SIZES, (state, size) =>
      runClaims(state, size, 0),
    ),
    ...measureMemory('claims with answers of 1 KiB', ANSWERED_SIZES, (state, size) =>
      runClaims(state, size, ANSWER_BYTES),
    ),
    ...measureMemory('rows of the pools table', TABLE_SIZES, (state, size) =>
      putPools(state, poolRows(size), 'change'),
    ),
    ...CLAIM_SIZES.map(claimThroughput),
    ...TABLE_SIZES.map(tableThroughput),
  ];
}
