/**
 * The file operations that the log needs, and their implementation for Node.js. Tests implement
 * them in memory to inject faults, such as a full disk or a crash that loses unsynced data.
 */
import { link, mkdir, open, readFile, readdir, rename, rm, writeFile } from 'node:fs/promises';

/** A file that is open for writing. */
export abstract class OpenFile {
  /** Writes all of `data` at `position`. */
  abstract write(data: Uint8Array, position: number): Promise<void>;
  /** Resolves once the data, and the file size needed to read it, are on disk. */
  abstract sync(): Promise<void>;
  abstract truncate(length: number): Promise<void>;
  abstract close(): Promise<void>;
}

export abstract class FileSystem {
  /** Opens a file for writing, and creates it if it is missing. */
  abstract open(path: string): Promise<OpenFile>;
  /** Returns undefined if the file is missing. */
  abstract read(path: string): Promise<Uint8Array | undefined>;
  abstract list(folder: string): Promise<readonly string[]>;
  abstract makeFolder(folder: string): Promise<void>;
  abstract rename(from: string, to: string): Promise<void>;
  /** Creates a second name for a file; returns false if that name exists. */
  abstract link(from: string, to: string): Promise<boolean>;
  abstract remove(path: string): Promise<void>;
  /** Makes the creation, renaming and removal of files in a folder durable. */
  abstract syncFolder(folder: string): Promise<void>;
}

function getErrorCode(error: unknown): string | undefined {
  return error instanceof Error && 'code' in error ? String(error.code) : undefined;
}

class NodeFile extends OpenFile {
  constructor(private readonly handle: Awaited<ReturnType<typeof open>>) {
    super();
  }

  override async write(data: Uint8Array, position: number): Promise<void> {
    let totalWrittenBytes = 0;
    while (totalWrittenBytes < data.length) {
      const remainingBytes = data.length - totalWrittenBytes;
      const { bytesWritten } = await this.handle.write(
        data,
        totalWrittenBytes,
        remainingBytes,
        position + totalWrittenBytes,
      );
      totalWrittenBytes += bytesWritten;
    }
  }

  override async sync(): Promise<void> {
    await this.handle.datasync();
  }

  override async truncate(length: number): Promise<void> {
    await this.handle.truncate(length);
  }

  override async close(): Promise<void> {
    await this.handle.close();
  }
}

/** Error codes of `link` on file systems without hard links. */
const UNSUPPORTED_LINK_CODES = new Set<string | undefined>([
  'ENOSYS',
  'EPERM',
  'ENOTSUP',
  'EOPNOTSUPP',
]);

/** The file system of the operating system. */
export class NodeFileSystem extends FileSystem {
  override async open(path: string): Promise<OpenFile> {
    try {
      return new NodeFile(await open(path, 'r+'));
    } catch (error) {
      if (getErrorCode(error) !== 'ENOENT') throw error;
      return new NodeFile(await open(path, 'w+'));
    }
  }

  override async read(path: string): Promise<Uint8Array | undefined> {
    try {
      return await readFile(path);
    } catch (error) {
      if (getErrorCode(error) === 'ENOENT') return undefined;
      throw error;
    }
  }

  override async list(folder: string): Promise<readonly string[]> {
    return readdir(folder);
  }

  override async makeFolder(folder: string): Promise<void> {
    await mkdir(folder, { recursive: true });
  }

  override async rename(from: string, to: string): Promise<void> {
    await rename(from, to);
  }

  override async link(from: string, to: string): Promise<boolean> {
    try {
      await link(from, to);
      return true;
    } catch (error) {
      const code = getErrorCode(error);
      if (code === 'EEXIST') return false;
      if (!UNSUPPORTED_LINK_CODES.has(code)) throw error;
    }
    return this.copyIfAbsent(from, to);
  }

  /**
   * Replaces `link` on file systems without hard links. The copy is not atomic, but never
   * overwrites a file.
   */
  private async copyIfAbsent(from: string, to: string): Promise<boolean> {
    try {
      await writeFile(to, await readFile(from), { flag: 'wx' });
      return true;
    } catch (error) {
      if (getErrorCode(error) === 'EEXIST') return false;
      throw error;
    }
  }

  override async remove(path: string): Promise<void> {
    await rm(path, { force: true });
  }

  override async syncFolder(folder: string): Promise<void> {
    const handle = await open(folder, 'r');
    try {
      await handle.sync();
    } finally {
      await handle.close();
    }
  }
}
