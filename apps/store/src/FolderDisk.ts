/** The disk of a store process: the data folder that its settings name. */

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

const MEMORY_FILE = 'entries';

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
    const { restored, isNew } = this.log;
    return { restored, isNew, snapshot: await this.log.readSnapshot() };
  }

  override async write(batch: PersistEffect): Promise<void> {
    await this.opened.write(batch);
  }

  override async saveSnapshot(snapshot: SavedSnapshot): Promise<void> {
    await this.opened.saveSnapshot(snapshot);
  }

  override async readSnapshot(): Promise<SavedSnapshot | undefined> {
    return this.opened.readSnapshot();
  }

  override async discardLog(throughIndex: number): Promise<void> {
    await this.opened.discardLog(throughIndex);
  }

  override async readPersistedEntryState(): Promise<PersistedEntryData | undefined> {
    const { folder } = this.options;
    const read = await readWholeFile(new NodeFileSystem(), folder, MEMORY_FILE);
    return read as PersistedEntryData | undefined;
  }

  override async savePersistedEntryState(memory: PersistedEntryData): Promise<void> {
    await replaceFile(new NodeFileSystem(), this.options.folder, MEMORY_FILE, memory);
  }

  /** Gives the folder a new identity, as that of an empty disk. It must be closed. */
  async resetIdentity(): Promise<void> {
    await renewIdentity(this.options);
  }

  override async close(): Promise<void> {
    await this.log?.close();
  }

  private get opened(): LogStore {
    if (this.log === undefined) throw new TypeError('the disk is not open');
    return this.log;
  }
}
