/**
 * The log of one store on its disk: segments of checksummed frames, a file for term and vote, and
 * the newest snapshot. A write is acknowledged only after its sync, and damaged or missing
 * files keep the store from starting. The names of these files contain the disk's identity, so that
 * replacing the file `identity` gives the folder a new identity and leaves the old files unread.
 */
import { randomUUID } from 'node:crypto';
import { join } from 'node:path';
import type { HornbeampondError } from '@hornbeampond/schema';
import type { RestoredState } from '../consensus/ConsensusState.js';
import type { PersistEffect } from '../consensus/consensusEvents.js';
import type { LogEntry, SnapshotHeader } from '../consensus/consensusTypes.js';
import { NodeFileSystem, type FileSystem, type OpenFile } from './FileSystem.js';
import { FolderLock } from './FolderLock.js';
import { encodeFrame } from './frames.js';
import { makeDamagedLogError, makeReadOnlyLogError } from './logErrors.js';
import { readWholeFile, replaceFile } from './replaceFile.js';
import {
  selectEntriesAfterSnapshot,
  findHighestIndex,
  replaySegment,
  type LogOperation,
} from './replaySegments.js';

/** An event for the operator; the caller logs it. */
export type LogNotice =
  | { readonly type: 'opened'; readonly entries: number; readonly snapshotIndex: number }
  | {
      readonly type: 'tornTailCut';
      readonly file: string;
      readonly offset: number;
      readonly bytes: number;
    }
  | { readonly type: 'diskFull'; readonly reason: string };

export interface LogStoreOptions {
  /**
   * The data folder. Its files `identity`, `lock-*`, `state-*`, `snapshot-*` and `log-*` belong to
   * the log store.
   */
  readonly folder: string;
  readonly cluster: string;
  readonly instance: string;
  readonly onNotice: (notice: LogNotice) => void;
  readonly fileSystem?: FileSystem;
  /** Length from which a segment is closed and the next one started. */
  readonly segmentBytes?: number;
}

export interface SavedSnapshot {
  readonly header: SnapshotHeader;
  readonly data: Uint8Array;
}

interface QueuedWrite {
  readonly batch: PersistEffect;
  resolve(): void;
  reject(reason: unknown): void;
}

interface Identity {
  readonly cluster: string;
  /**
   * Checked on start: if the folder were copied to another instance, both would vote under the same
   * identity.
   */
  readonly instance: string;
  readonly identity: string;
  /** True if an earlier identity of this folder was replaced. Missing in files of older versions. */
  readonly isRenewed?: boolean;
}

/**
 * The run count, the term and the vote, and the first and last segment number, from which a missing
 * segment is detected.
 */
interface DiskState {
  readonly runs: number;
  readonly term: number;
  readonly votedFor?: string;
  readonly firstSegment: number;
  readonly lastSegment: number;
}

const IDENTITY_FILE = 'identity';
const DEFAULT_SEGMENT_BYTES = 16 * 1024 * 1024;
const SEGMENT_DIGITS = 8;

const EMPTY_STATE: DiskState = { runs: 0, term: 0, firstSegment: 1, lastSegment: 0 };

function isIdentity(value: unknown): value is Identity {
  if (typeof value !== 'object' || value === null) return false;
  const { cluster, instance, identity, isRenewed = false } = value as Partial<Identity>;
  const hasNames = [cluster, instance, identity].every((name) => typeof name === 'string');
  return hasNames && identity !== '' && typeof isRenewed === 'boolean';
}

/** Undefined if the file is missing; throws if it is damaged or belongs to another store. */
async function readIdentity(
  fileSystem: FileSystem,
  { folder, cluster, instance }: LogStoreOptions,
): Promise<Identity | undefined> {
  const stored = await readWholeFile(fileSystem, folder, IDENTITY_FILE);
  if (stored === undefined) return undefined;
  if (!isIdentity(stored)) {
    throw makeDamagedLogError(IDENTITY_FILE, 0, 'the file holds no identity');
  }
  if (stored.cluster === cluster && stored.instance === instance) return stored;
  throw makeDamagedLogError(
    IDENTITY_FILE,
    0,
    `the file belongs to instance ${stored.instance} of cluster ${stored.cluster}`,
  );
}

async function readOrCreateIdentity(
  fileSystem: FileSystem,
  options: LogStoreOptions,
): Promise<Identity> {
  const { folder, cluster, instance } = options;
  const stored = await readIdentity(fileSystem, options);
  if (stored !== undefined) return stored;
  // A new identity would hide that this disk has acknowledged entries and votes.
  const names = await fileSystem.list(folder);
  const existingName = names.find((name) => /^(state|snapshot|log)-/.test(name));
  if (existingName !== undefined)
    throw makeDamagedLogError(
      IDENTITY_FILE,
      0,
      `the file is missing although ${existingName} exists`,
    );
  const created: Identity = { cluster, instance, identity: randomUUID() };
  await replaceFile(fileSystem, folder, IDENTITY_FILE, created);
  return created;
}

/**
 * Gives a folder a new identity, after peers have refused its disk because entries that the disk
 * had acknowledged are missing, or refused its run as outdated. The old files are kept for
 * inspection but not read again. The file marks the new identity as a renewed one, so that the store
 * does not take its disk for one that was never used. Throws if a running process has the folder open,
 * or if the present identity is damaged or belongs to another store.
 */
export async function renewIdentity(options: LogStoreOptions): Promise<void> {
  const fileSystem = options.fileSystem ?? new NodeFileSystem();
  const { folder, cluster, instance } = options;
  const lock = await FolderLock.acquire(fileSystem, folder);
  try {
    await readIdentity(fileSystem, options);
    const renewed: Identity = { cluster, instance, identity: randomUUID(), isRenewed: true };
    await replaceFile(fileSystem, folder, IDENTITY_FILE, renewed);
  } finally {
    await lock.release();
  }
}

export class LogStore {
  private readonly fileSystem: FileSystem;

  private readonly folder: string;

  private readonly segmentBytes: number;

  private readonly runToken = randomUUID();

  private lock!: FolderLock;

  private identity = '';

  /** True if this folder has had another identity. */
  private hadOtherIdentity = false;

  private state = EMPTY_STATE;

  private segments: { name: string; number: number; byteLength: number; highestIndex: number }[] =
    [];

  private segmentFile: OpenFile | undefined;

  private snapshot: SnapshotHeader | undefined;

  /** Index of the last entry in the segments, or of the snapshot if no entry follows it. */
  private lastIndex = 0;

  private restoredState!: RestoredState;

  private failure: HornbeampondError | undefined;

  private queuedWrites: QueuedWrite[] = [];

  private lastOperation: Promise<void> = Promise.resolve();

  private constructor(private readonly options: LogStoreOptions) {
    this.fileSystem = options.fileSystem ?? new NodeFileSystem();
    this.folder = options.folder;
    this.segmentBytes = options.segmentBytes ?? DEFAULT_SEGMENT_BYTES;
  }

  /** Locks the folder, reads the log and counts a new run. */
  static async open(options: LogStoreOptions): Promise<LogStore> {
    const store = new LogStore(options);
    await store.fileSystem.makeFolder(store.folder);
    store.lock = await FolderLock.acquire(store.fileSystem, store.folder);
    try {
      await store.loadAndCountRun();
    } catch (error) {
      await store.close();
      throw error;
    }
    return store;
  }

  /** The state with which the reducer starts; its run is already counted on disk. */
  get restored(): RestoredState {
    return this.restoredState;
  }

  /**
   * True if the disk held no snapshot or entry when it was opened, and no term but that of a founding of
   * a cluster that was interrupted: only a founder votes for itself without an entry.
   */
  get isNew(): boolean {
    const { term, votedFor, snapshot, entries } = this.restoredState;
    const isEmpty = snapshot === undefined && entries.length === 0;
    return isEmpty && (term === 0 || votedFor === this.identity);
  }

  /**
   * True if this disk may have been part of a cluster under another identity: its identity was renewed,
   * or the folder has files of another one.
   */
  get wasUsed(): boolean {
    return this.hadOtherIdentity;
  }

  get readOnly(): boolean {
    return this.failure !== undefined;
  }

  /**
   * Makes a batch durable. Batches are written in the order of the calls; those that arrive during
   * a sync share the next one. After a rejection the log is read-only, and the batch must not be
   * acknowledged.
   */
  async write(batch: PersistEffect): Promise<void> {
    return new Promise((resolve, reject) => {
      this.queuedWrites.push({ batch, resolve, reject });
      if (this.queuedWrites.length === 1) void this.runInOrder(() => this.writeQueued());
    });
  }

  /** Saves a snapshot of this store's state machine. */
  async saveSnapshot(snapshot: SavedSnapshot): Promise<void> {
    await this.runInOrder(() => this.runWrite(() => this.saveLocalSnapshot(snapshot)));
  }

  async readSnapshot(): Promise<SavedSnapshot | undefined> {
    const name = this.fileNameOf('snapshot');
    return (await readWholeFile(this.fileSystem, this.folder, name)) as SavedSnapshot | undefined;
  }

  /**
   * Removes the first segments, as far as their entries are both at or below `throughIndex` and
   * covered by the snapshot. The last segment is kept.
   */
  async discardLog(throughIndex: number): Promise<void> {
    await this.runInOrder(() => this.discardSegments(throughIndex));
  }

  /**
   * After a failed write, resolves once the disk takes writes again and holds exactly what was synced before
   * the failure. The log stays read-only: it is for the next run of the process to read.
   */
  async restoreAfterFailure(): Promise<void> {
    await this.runInOrder(async () => {
      const last = this.segments.at(-1);
      // Bytes after it may be in the page cache alone, and would be read as if they had been synced.
      if (last !== undefined) {
        // Opened anew: the failure may have left a handle that is closed, or one of another segment.
        const file = await this.fileSystem.open(join(this.folder, last.name));
        try {
          await file.truncate(last.byteLength);
          await file.sync();
        } finally {
          await file.close();
        }
      }
      // The file may hold a term and a vote whose sync failed.
      await this.saveState(this.state);
    });
  }

  async close(): Promise<void> {
    await this.lastOperation;
    const file = this.segmentFile;
    this.segmentFile = undefined;
    try {
      await file?.close();
    } finally {
      // A file that could not be closed is not written to any more; the lock would keep the folder in use.
      await this.lock.release();
    }
  }

  /** Runs an operation once all earlier ones have ended. */
  private async runInOrder(work: () => Promise<void>): Promise<void> {
    const result = this.lastOperation.then(work);
    this.lastOperation = result.catch(() => {});
    return result;
  }

  private async writeQueued(): Promise<void> {
    const writes = this.queuedWrites.splice(0);
    try {
      await this.runWrite(() => this.writeBatches(writes.map(({ batch }) => batch)));
      writes.forEach(({ resolve }) => resolve());
    } catch (error) {
      writes.forEach(({ reject }) => reject(error));
    }
  }

  private async writeBatches(batches: readonly PersistEffect[]): Promise<void> {
    // Term and vote are saved first, so that no entry on disk is of a later term than the saved
    // one.
    const vote = batches.findLast((batch) => batch.vote !== undefined)?.vote;
    if (vote !== undefined)
      await this.saveState({ ...this.state, ...vote, votedFor: vote.votedFor });
    const operations: LogOperation[] = [];
    for (const { snapshot, truncateFrom, entries } of batches) {
      if (snapshot !== undefined) {
        await this.appendFrame(operations.splice(0));
        await this.replaceSnapshotFile(snapshot);
        operations.push({ reset: true, entries: [] });
      }
      if (truncateFrom !== undefined || entries.length > 0) {
        operations.push({ truncateFrom, entries });
      }
    }
    await this.appendFrame(operations);
  }

  private async discardSegments(throughIndex: number): Promise<void> {
    const coveredIndex = Math.min(throughIndex, this.snapshot?.index ?? 0);
    const last = this.segments.length - 1;
    const firstKeptPosition = this.segments.findIndex(
      ({ highestIndex }, position) => highestIndex > coveredIndex || position === last,
    );
    const first = this.segments[firstKeptPosition];
    if (first === undefined || firstKeptPosition === 0) return;
    await this.runWrite(async () => {
      await this.saveState({ ...this.state, firstSegment: first.number });
      for (const removedSegment of this.segments.splice(0, firstKeptPosition)) {
        await this.fileSystem.remove(join(this.folder, removedSegment.name));
      }
    });
  }

  private fileNameOf(kind: 'state' | 'snapshot'): string {
    return `${kind}-${this.identity}`;
  }

  private segmentFileName(number: number): string {
    return `log-${this.identity}-${String(number).padStart(SEGMENT_DIGITS, '0')}`;
  }

  private async loadAndCountRun(): Promise<void> {
    const { identity, isRenewed = false } = await readOrCreateIdentity(
      this.fileSystem,
      this.options,
    );
    this.identity = identity;
    this.hadOtherIdentity = isRenewed || (await this.hasFilesOfOtherIdentity());
    const state = await readWholeFile(this.fileSystem, this.folder, this.fileNameOf('state'));
    if (state === undefined) await this.assertNoDataFiles();
    else this.state = state as DiskState;
    const saved = await this.readSnapshot();
    this.snapshot = saved?.header;
    const replayed = await this.readSegments();
    const [last] = this.segments.slice(-1);
    this.lastIndex = replayed.at(-1)?.index ?? this.snapshot?.index ?? 0;
    const entries = selectEntriesAfterSnapshot(this.snapshot, replayed, last?.name ?? '');
    if (this.needsReset(replayed.at(-1), entries)) {
      await this.appendFrame([{ reset: true, entries: [] }]);
    }
    await this.removeUnlistedSegments();
    // Saved before the first message is sent, so that peers can distinguish this run from earlier
    // ones.
    await this.saveState({ ...this.state, runs: this.state.runs + 1 });
    const { term, votedFor, runs } = this.state;
    const run = { count: runs, token: this.runToken };
    const self = { instance: this.options.instance, identity: this.identity, run };
    this.restoredState = { self, term, votedFor, snapshot: this.snapshot, entries };
    this.options.onNotice({
      type: 'opened',
      entries: entries.length,
      snapshotIndex: this.snapshot?.index ?? 0,
    });
  }

  /**
   * True if none of the entries in the segments is kept and the last of them is not the entry at
   * which the snapshot ends. New entries would then not follow the old ones, so a reset is written
   * before them.
   */
  private needsReset(
    lastEntry: LogEntry | undefined,
    remainingEntries: readonly LogEntry[],
  ): boolean {
    if (lastEntry === undefined || remainingEntries.length > 0) return false;
    return lastEntry.index !== this.snapshot?.index || lastEntry.term !== this.snapshot.term;
  }

  /** Removes segments whose creation or removal was interrupted by a crash. */
  private async removeUnlistedSegments(): Promise<void> {
    const listedNames = new Set(this.segments.map(({ name }) => name));
    const names = await this.fileSystem.list(this.folder);
    for (const name of names) {
      if (name.startsWith(`log-${this.identity}-`) && !listedNames.has(name)) {
        await this.fileSystem.remove(join(this.folder, name));
      }
    }
  }

  private async hasFilesOfOtherIdentity(): Promise<boolean> {
    const names = await this.fileSystem.list(this.folder);
    return names.some(
      (name) => /^(state|snapshot|log)-/.test(name) && !name.includes(this.identity),
    );
  }

  private async assertNoDataFiles(): Promise<void> {
    const names = await this.fileSystem.list(this.folder);
    const existingName = names.find(
      (name) => /^(snapshot|log)-/.test(name) && name.includes(this.identity),
    );
    if (existingName === undefined) return;
    throw makeDamagedLogError(
      this.fileNameOf('state'),
      0,
      `the file is missing although ${existingName} exists`,
    );
  }

  private async readSegments(): Promise<LogEntry[]> {
    const { firstSegment, lastSegment } = this.state;
    const entries: LogEntry[] = [];
    for (let number = firstSegment; number <= lastSegment; number += 1) {
      const name = this.segmentFileName(number);
      const content = await this.fileSystem.read(join(this.folder, name));
      if (content === undefined) throw makeDamagedLogError(name, 0, 'the file is missing');
      const isLast = number === lastSegment;
      const segment = replaySegment(entries, { name, content }, isLast);
      this.segments.push({ ...segment, number });
      if (isLast) await this.openLastSegment(segment, content.length);
    }
    return entries;
  }

  /** Opens the last segment for writing and truncates an incomplete frame at its end. */
  private async openLastSegment(
    last: { name: string; byteLength: number },
    fileLength: number,
  ): Promise<void> {
    this.segmentFile = await this.fileSystem.open(join(this.folder, last.name));
    if (fileLength === last.byteLength) return;
    await this.segmentFile.truncate(last.byteLength);
    await this.segmentFile.sync();
    this.options.onNotice({
      type: 'tornTailCut',
      file: last.name,
      offset: last.byteLength,
      bytes: fileLength - last.byteLength,
    });
  }

  private async saveState(state: DiskState): Promise<void> {
    await replaceFile(this.fileSystem, this.folder, this.fileNameOf('state'), state);
    this.state = state;
  }

  private async replaceSnapshotFile(snapshot: SavedSnapshot): Promise<void> {
    // A snapshot taken here may be saved after a newer one from the leader, which has already
    // replaced the log below it.
    if (snapshot.header.index <= (this.snapshot?.index ?? 0)) return;
    await replaceFile(this.fileSystem, this.folder, this.fileNameOf('snapshot'), snapshot);
    this.snapshot = snapshot.header;
  }

  /**
   * Saves a snapshot that this store took itself. If the log ends before it, a reset makes the next
   * entry follow the snapshot.
   */
  private async saveLocalSnapshot(snapshot: SavedSnapshot): Promise<void> {
    await this.replaceSnapshotFile(snapshot);
    if (this.lastIndex >= snapshot.header.index) return;
    await this.appendFrame([{ reset: true, entries: [] }]);
  }

  private updateLastIndex({ reset, truncateFrom, entries }: LogOperation): void {
    if (reset) this.lastIndex = this.snapshot?.index ?? 0;
    if (truncateFrom !== undefined) this.lastIndex = Math.min(this.lastIndex, truncateFrom - 1);
    this.lastIndex = entries.at(-1)?.index ?? this.lastIndex;
  }

  /** Starts a segment and lists it in the state file before any frame is written to it. */
  private async startSegment(): Promise<void> {
    const number = this.state.lastSegment + 1;
    const name = this.segmentFileName(number);
    const path = join(this.folder, name);
    await this.segmentFile?.close();
    this.segmentFile = undefined;
    // A run that crashed before it listed this segment may have left a file of this name.
    await this.fileSystem.remove(path);
    this.segmentFile = await this.fileSystem.open(path);
    await this.fileSystem.syncFolder(this.folder);
    await this.saveState({ ...this.state, lastSegment: number });
    this.segments.push({ name, number, byteLength: 0, highestIndex: 0 });
  }

  private async appendFrame(operations: readonly LogOperation[]): Promise<void> {
    if (operations.length === 0) return;
    const current = this.segments.at(-1);
    if (current === undefined || current.byteLength >= this.segmentBytes) await this.startSegment();
    const segment = this.segments.at(-1);
    if (segment === undefined || this.segmentFile === undefined)
      throw new Error('No segment is open');
    const frame = encodeFrame(operations);
    await this.segmentFile.write(frame, segment.byteLength);
    await this.segmentFile.sync();
    segment.byteLength += frame.length;
    operations.forEach((operation) => this.updateLastIndex(operation));
    segment.highestIndex = Math.max(segment.highestIndex, findHighestIndex(operations));
  }

  /**
   * Runs a write. After any failure the log stays read-only, because a sync that is repeated after
   * a failure may report success for data that is lost.
   */
  private async runWrite(write: () => Promise<void>): Promise<void> {
    if (this.failure !== undefined) throw this.failure;
    try {
      await write();
    } catch (error) {
      const reason = error instanceof Error ? error.message : String(error);
      this.failure = makeReadOnlyLogError(reason, error);
      await this.truncateUnfinishedFrame();
      this.options.onNotice({ type: 'diskFull', reason });
      throw this.failure;
    }
  }

  private async truncateUnfinishedFrame(): Promise<void> {
    try {
      await this.segmentFile?.truncate(this.segments.at(-1)?.byteLength ?? 0);
    } catch {
      // The next start truncates it.
    }
  }
}
