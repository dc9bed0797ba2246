/**
 * A file system in memory that loses unsynced data in a simulated power cut. It counts operations,
 * so that a test can let all of them fail from a chosen one on. It can also run out of space or
 * ignore syncs of files.
 */
import { basename, dirname } from 'node:path';
import { FileSystem, OpenFile } from '../FileSystem.js';

interface Content {
  live: Buffer;
  synced: Buffer;
}

/** The part of the file system that its open files use. */
interface DiskCounters {
  syncCount: number;
  freeBytes: number;
  readonly ignoresSyncs: boolean;
  beginOperation(): void;
}

class MemoryFile extends OpenFile {
  constructor(
    private readonly disk: DiskCounters,
    private readonly content: Content,
  ) {
    super();
  }

  override async write(data: Uint8Array, position: number): Promise<void> {
    this.disk.beginOperation();
    const writtenLength = Math.min(data.length, this.disk.freeBytes);
    this.disk.freeBytes -= writtenLength;
    const { live } = this.content;
    const nextContent = Buffer.alloc(Math.max(live.length, position + writtenLength));
    nextContent.set(live);
    nextContent.set(data.subarray(0, writtenLength), position);
    this.content.live = nextContent;
    if (writtenLength < data.length) throw new Error('ENOSPC: no space left on device, write');
  }

  override async sync(): Promise<void> {
    this.disk.beginOperation();
    this.disk.syncCount += 1;
    if (!this.disk.ignoresSyncs) this.content.synced = this.content.live;
  }

  override async truncate(length: number): Promise<void> {
    this.disk.beginOperation();
    this.content.live = this.content.live.subarray(0, length);
  }

  override async close(): Promise<void> {
    // Closing changes nothing on the disk.
  }
}

/**
 * How much of the unsynced data of each file survives a power cut. Unsynced changes of names are
 * lost with `nothing` and survive otherwise.
 */
export type SurvivingWrites = 'nothing' | 'half' | 'everything';

export class MemoryFileSystem extends FileSystem {
  private contentByPath = new Map<string, Content>();

  private syncedContentByPath = new Map<string, Content>();

  operationCount = 0;

  syncCount = 0;

  /** Number of the first operation that fails; all later ones fail too. */
  failFromOperation = Number.POSITIVE_INFINITY;

  /** True for a disk that reports syncs of files as done without doing them. */
  ignoresSyncs = false;

  /** Free space; a write beyond it stores the bytes that fit and fails. */
  freeBytes = Number.POSITIVE_INFINITY;

  beginOperation(): void {
    this.operationCount += 1;
    if (this.operationCount >= this.failFromOperation) throw new Error('simulated power cut');
  }

  /**
   * Simulates a power cut and a restart, after which operations succeed again. Lock files are
   * removed: a real restart changes the boot id, but here the process would still count as owner.
   */
  cutPower(survivingWrites: SurvivingWrites): void {
    if (survivingWrites === 'nothing') this.contentByPath = new Map(this.syncedContentByPath);
    this.contentByPath.forEach((content, path) => {
      const { live, synced } = content;
      if (survivingWrites === 'nothing') content.live = synced;
      if (survivingWrites === 'half' && live.length > synced.length) {
        content.live = live.subarray(
          0,
          synced.length + Math.ceil((live.length - synced.length) / 2),
        );
      }
      content.synced = content.live;
      if (basename(path).startsWith('lock-')) this.contentByPath.delete(path);
    });
    this.syncedContentByPath = new Map(this.contentByPath);
    this.failFromOperation = Number.POSITIVE_INFINITY;
  }

  override async open(path: string): Promise<OpenFile> {
    this.beginOperation();
    const content = this.contentByPath.get(path) ?? {
      live: Buffer.alloc(0),
      synced: Buffer.alloc(0),
    };
    this.contentByPath.set(path, content);
    return new MemoryFile(this, content);
  }

  override async read(path: string): Promise<Uint8Array | undefined> {
    return this.contentByPath.get(path)?.live;
  }

  override async list(folder: string): Promise<readonly string[]> {
    return [...this.contentByPath.keys()]
      .filter((path) => dirname(path) === folder)
      .map((path) => basename(path));
  }

  override async makeFolder(): Promise<void> {
    this.beginOperation();
  }

  override async rename(from: string, to: string): Promise<void> {
    this.beginOperation();
    const content = this.contentByPath.get(from);
    if (content === undefined) throw new Error(`${from} is missing`);
    this.contentByPath.delete(from);
    this.contentByPath.set(to, content);
  }

  override async link(from: string, to: string): Promise<boolean> {
    this.beginOperation();
    const content = this.contentByPath.get(from);
    if (content === undefined || this.contentByPath.has(to)) return false;
    this.contentByPath.set(to, content);
    return true;
  }

  override async remove(path: string): Promise<void> {
    this.beginOperation();
    this.contentByPath.delete(path);
  }

  override async syncFolder(): Promise<void> {
    this.beginOperation();
    this.syncedContentByPath = new Map(this.contentByPath);
  }
}
