/**
 * The state as one plain value that CBOR can carry, to cut the log short and to bring laggards up
 * to date. It must hold all that decides a result: a change id or a bar left out would come back
 * as a doubled change or an opened claim after a restart.
 */
import type { Configuration, EpochMilliseconds, StoredAnswer } from '@hornbeampond/schema';
import { HornbeampondError } from '@hornbeampond/schema';
import { copyAnswer } from './claims.js';
import {
  MachineState,
  type ChangeRecord,
  type Claim,
  type CrashRecord,
  type Lease,
} from './MachineState.js';

/** Grows with every change of the snapshot's form or of the rules that read it. */
export const SNAPSHOT_VERSION = 2;

export interface MachineSnapshot {
  readonly version: typeof SNAPSHOT_VERSION;
  readonly lastAt: EpochMilliseconds;
  readonly configuration: Configuration;
  readonly document?: string;
  readonly changes: readonly (readonly [string, ChangeRecord])[];
  readonly claims: readonly (readonly [string, Claim])[];
  readonly answers: readonly (readonly [string, StoredAnswer])[];
  readonly answerBytes: number;
  readonly barredAttempts: readonly (readonly [string, EpochMilliseconds])[];
  readonly leases: readonly (readonly [string, Lease])[];
  readonly usage: readonly (readonly [number, Readonly<Record<string, number>>])[];
  readonly crashes: readonly (readonly [string, CrashRecord])[];
}

/** Copies the state; records are never changed in place, so they are shared with it. */
export function takeSnapshot(state: MachineState): MachineSnapshot {
  return {
    version: SNAPSHOT_VERSION,
    lastAt: state.lastAt,
    configuration: state.configuration,
    ...(state.document === undefined ? {} : { document: state.document }),
    changes: [...state.changes],
    claims: [...state.claims],
    answers: [...state.answers],
    answerBytes: state.answerBytes,
    barredAttempts: [...state.barredAttempts],
    leases: [...state.leases],
    usage: [...state.usage],
    crashes: [...state.crashes],
  };
}

function readVersion(value: unknown): unknown {
  return typeof value === 'object' && value !== null && 'version' in value
    ? value.version
    : undefined;
}

function fillMap<Key, Value>(
  map: Map<Key, Value>,
  entries: readonly (readonly [Key, Value])[],
): void {
  entries.forEach(([name, value]) => map.set(name, value));
}

/** Makes a state of a snapshot; one of another version is refused with a clear error. */
export function restoreSnapshot(value: unknown): MachineState {
  const version = readVersion(value);
  if (version !== SNAPSHOT_VERSION) {
    const message = `snapshot version ${String(version)} is not the supported ${SNAPSHOT_VERSION}`;
    const unsupported: Error = new HornbeampondError('internalError', message);
    throw unsupported;
  }
  const snapshot = value as MachineSnapshot;
  const state = new MachineState();
  state.lastAt = snapshot.lastAt;
  state.configuration = snapshot.configuration;
  state.document = snapshot.document;
  state.answerBytes = snapshot.answerBytes;
  fillMap(state.changes, snapshot.changes);
  fillMap(state.claims, snapshot.claims);
  snapshot.answers.forEach(([name, answer]) => state.answers.set(name, copyAnswer(answer)));
  fillMap(state.barredAttempts, snapshot.barredAttempts);
  fillMap(state.leases, snapshot.leases);
  fillMap(state.usage, snapshot.usage);
  fillMap(state.crashes, snapshot.crashes);
  return state;
}
