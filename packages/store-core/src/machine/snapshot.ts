/**
 * Converts the state to a plain value that CBOR can encode, and back. Snapshots allow the log to be
 * truncated and bring stores that are far behind up to date. A snapshot must contain everything that a
 * result depends on: without the change ids a change could be applied twice after a restart, and
 * without the barred attempts a released attempt could still open its claim.
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

/** Increases with every change of the snapshot's format or of the rules that use its contents. */
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

/** Copies the maps of the state but not their records, which are never changed in place. */
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

/** Restores the state from a snapshot; throws if its version is not the supported one. */
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
