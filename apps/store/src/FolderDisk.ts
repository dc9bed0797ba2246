/** A store's disk in the data folder that its settings name. */

import {
  LogStore,
  NodeFileSystem,
  readWholeFile,
  replaceFile,
  renewIdentity,
  type LogNotice,
  type PersistEffect,
} from '@hornbeampond/store-core';
import type { PersistedEntryData } from '@hornbeampond/schema';
import { StoreDisk, type DiskContents, type SavedSnapshot } from './StoreDisk.js';

const ENTRY_STATE_FILE = 'entries';

export interface FolderDiskOptions {
  readonly folder: string;
  readonly cluster: string;
  readonly instance: string;
  onNotice(notice: LogNotice): void;
}

export class FolderDisk extends StoreDisk {
  private log: LogStore | undefined;

  constructor(private readonly options: FolderDiskOptions) {
    super();
  }

  override async open(): Promise<DiskContents> {
    this.log = await LogStore.open(this.options);
    const { restored, isNew, wasUsed } = this.log;
    return { restored, isNew, wasUsed, snapshot: await this.log.readSnapshot() };
  }

  override async write(effect: PersistEffect): Promise<void> {
    await this.openedLog.write(effect);
  }

  override async saveSnapshot(snapshot: SavedSnapshot): Promise<void> {
    await this.openedLog.saveSnapshot(snapshot);
  }

  override async readSnapshot(): Promise<SavedSnapshot | undefined> {
    return this.openedLog.readSnapshot();
  }

  override async discardLog(throughIndex: number): Promise<void> {
    await this.openedLog.discardLog(throughIndex);
  }

  override async readPersistedEntryState(): Promise<PersistedEntryData | undefined> {
    const { folder } = this.options;
    const read = await readWholeFile(new NodeFileSystem(), folder, ENTRY_STATE_FILE);
    return read as PersistedEntryData | undefined;
  }

  override async savePersistedEntryState(state: PersistedEntryData): Promise<void> {
    await replaceFile(new NodeFileSystem(), this.options.folder, ENTRY_STATE_FILE, state);
  }

  override async restoreAfterFailure(): Promise<void> {
    await this.openedLog.restoreAfterFailure();
  }

  /** Gives the folder a new identity, as if it were empty. The disk must be closed. */
  async resetIdentity(): Promise<void> {
    await renewIdentity(this.options);
  }

  override async close(): Promise<void> {
    await this.log?.close();
  }

  private get openedLog(): LogStore {
    if (this.log === undefined) throw new TypeError('the disk is not open');
    return this.log;
  }
}
