/**
 * A disk in memory that forgets what was not synced. A test counts operations, lets one of them
 * fail, and then takes the power away.
 */
import { basename, dirname } from 'node:path';
import { FileSystem, OpenFile } from '../FileSystem.js';

interface Content {
  live: Buffer;
  synced: Buffer;
}

/** What a file needs of its disk. */
interface DiskMeter {
  syncCount: number;
  freeBytes: number;
  readonly ignoresSyncs: boolean;
  countOperation(): void;
}

class MemoryFile extends OpenFile {
  constructor(
    private readonly disk: DiskMeter,
    private readonly content: Content,
  ) {
    super();
  }

  override async write(data: Uint8Array, position: number): Promise<void> {
    this.disk.countOperation();
    const taken = Math.min(data.length, this.disk.freeBytes);
    this.disk.freeBytes -= taken;
    const { live } = this.content;
    const next = Buffer.alloc(Math.max(live.length, position + taken));
    next.set(live);
    next.set(data.subarray(0, taken), position);
    this.content.live = next;
    if (taken < data.length) throw new Error('ENOSPC: no space left on device, write');
  }

  override async sync(): Promise<void> {
    this.disk.countOperation();
    this.disk.syncCount += 1;
    if (!this.disk.ignoresSyncs) this.content.synced = this.content.live;
  }

  override async truncate(length: number): Promise<void> {
    this.disk.countOperation();
    this.content.live = this.content.live.subarray(0, length);
  }

  override async close(): Promise<void> {
    // Closing changes nothing on the disk.
  }
}

/** What a power cut leaves of writes that were not synced. */
export type SurvivingWrites = 'nothing' | 'half' | 'everything';

export class MemoryFileSystem extends FileSystem {
  private names = new Map<string, Content>();

  private syncedNames = new Map<string, Content>();

  operationCount = 0;

  syncCount = 0;

  /** The operation with this number, and all behind it, fail. */
  failFromOperation = Number.POSITIVE_INFINITY;

  /** True for a disk that says it has synced a file and hasn't. */
  ignoresSyncs = false;

  /** Bytes that the disk still takes. */
  freeBytes = Number.POSITIVE_INFINITY;

  countOperation(): void {
    this.operationCount += 1;
    if (this.operationCount >= this.failFromOperation) throw new Error('The power is gone');
  }

  /** Takes the power away and brings it back. Locks of before are of another boot. */
  cutPower(leftover: SurvivingWrites): void {
    if (leftover === 'nothing') this.names = new Map(this.syncedNames);
    this.names.forEach((content, path) => {
      const { live, synced } = content;
      if (leftover === 'nothing') content.live = synced;
      if (leftover === 'half' && live.length > synced.length) {
        content.live = live.subarray(
          0,
          synced.length + Math.ceil((live.length - synced.length) / 2),
        );
      }
      content.synced = content.live;
      if (basename(path).startsWith('lock-')) this.names.delete(path);
    });
    this.syncedNames = new Map(this.names);
    this.failFromOperation = Number.POSITIVE_INFINITY;
  }

  override async open(path: string): Promise<OpenFile> {
    this.countOperation();
    const content = this.names.get(path) ?? { live: Buffer.alloc(0), synced: Buffer.alloc(0) };
    this.names.set(path, content);
    return new MemoryFile(this, content);
  }

  override async read(path: string): Promise<Uint8Array | undefined> {
    return this.names.get(path)?.live;
  }

  override async list(folder: string): Promise<readonly string[]> {
    return [...this.names.keys()]
      .filter((path) => dirname(path) === folder)
      .map((path) => basename(path));
  }

  override async makeFolder(): Promise<void> {
    this.countOperation();
  }

  override async rename(from: string, to: string): Promise<void> {
    this.countOperation();
    const content = this.names.get(from);
    if (content === undefined) throw new Error(`${from} is missing`);
    this.names.delete(from);
    this.names.set(to, content);
  }

  override async link(from: string, to: string): Promise<boolean> {
    this.countOperation();
    const content = this.names.get(from);
    if (content === undefined || this.names.has(to)) return false;
    this.names.set(to, content);
    return true;
  }

  override async remove(path: string): Promise<void> {
    this.countOperation();
    this.names.delete(path);
  }

  override async syncFolder(): Promise<void> {
    this.countOperation();
    this.syncedNames = new Map(this.names);
  }
}
