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
  syncs: number;
  bytesLeft: number;
  readonly syncsIgnored: boolean;
  step(): void;
}

class MemoryFile extends OpenFile {
  constructor(
    private readonly disk: DiskMeter,
    private readonly content: Content,
  ) {
    super();
  }

  override async write(data: Uint8Array, position: number): Promise<void> {
    this.disk.step();
    const taken = Math.min(data.length, this.disk.bytesLeft);
    this.disk.bytesLeft -= taken;
    const { live } = this.content;
    const next = Buffer.alloc(Math.max(live.length, position + taken));
    next.set(live);
    next.set(data.subarray(0, taken), position);
    this.content.live = next;
    if (taken < data.length) throw new Error('ENOSPC: no space left on device, write');
  }

  override async sync(): Promise<void> {
    this.disk.step();
    this.disk.syncs += 1;
    if (!this.disk.syncsIgnored) this.content.synced = this.content.live;
  }

  override async truncate(length: number): Promise<void> {
    this.disk.step();
    this.content.live = this.content.live.subarray(0, length);
  }

  override async close(): Promise<void> {
    // Closing changes nothing on the disk.
  }
}

/** What a power cut leaves of writes that were not synced. */
export type Leftover = 'nothing' | 'half' | 'everything';

export class MemoryFileSystem extends FileSystem {
  private names = new Map<string, Content>();

  private syncedNames = new Map<string, Content>();

  operations = 0;

  syncs = 0;

  /** The operation with this number, and all behind it, fail. */
  failFrom = Number.POSITIVE_INFINITY;

  /** True for a disk that says it has synced a file and hasn't. */
  syncsIgnored = false;

  /** Bytes that the disk still takes. */
  bytesLeft = Number.POSITIVE_INFINITY;

  step(): void {
    this.operations += 1;
    if (this.operations >= this.failFrom) throw new Error('The power is gone');
  }

  /** Takes the power away and brings it back. Locks of before are of another boot. */
  cutPower(leftover: Leftover): void {
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
    this.failFrom = Number.POSITIVE_INFINITY;
  }

  override async open(path: string): Promise<OpenFile> {
    this.step();
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
    this.step();
  }

  override async rename(from: string, to: string): Promise<void> {
    this.step();
    const content = this.names.get(from);
    if (content === undefined) throw new Error(`${from} is missing`);
    this.names.delete(from);
    this.names.set(to, content);
  }

  override async link(from: string, to: string): Promise<boolean> {
    this.step();
    const content = this.names.get(from);
    if (content === undefined || this.names.has(to)) return false;
    this.names.set(to, content);
    return true;
  }

  override async remove(path: string): Promise<void> {
    this.step();
    this.names.delete(path);
  }

  override async syncFolder(): Promise<void> {
    this.step();
    this.syncedNames = new Map(this.names);
  }
}
