/**
 * Keeps two processes off one data folder. Each lock is a file of its own number that names its
 * process; a process may only go on if no other lock belongs to a living one. Numbers are never
 * taken over: a stale lock is passed over first and removed later, so that two processes that both
 * find it stale can't remove each other's new lock.
 *
 * A process writes its whole lock before it looks for others. Of two that start together at least
 * one so finds the other, also where the file system has no links and a lock that is being written
 * can be seen half.
 */
import { readFileSync } from 'node:fs';
import { join } from 'node:path';
import type { FileSystem } from './FileSystem.js';
import { decodeFrame, encodeFrame } from './frames.js';
import { makeFolderLockedError } from './logErrors.js';

interface Owner {
  readonly pid: number;
  /** When the process started, as the kernel counts; a reused pid has another. */
  readonly startedAt: string;
  readonly boot: string;
}

const LOCK_NAME = /^lock-(\d+)$/;
const BOOT_FILE = '/proc/sys/kernel/random/boot_id';
/** Position of the start time behind the process name in the kernel's status line. */
const START_FIELD = 19;

function readText(path: string): string {
  try {
    return readFileSync(path, 'utf8').trim();
  } catch {
    return '';
  }
}

function startOf(pid: number): string {
  const status = readText(`/proc/${pid}/stat`);
  const fields = status.slice(status.lastIndexOf(')') + 2).split(' ');
  return fields[START_FIELD] ?? '';
}

/**
 * A lock without a start time was taken where the kernel tells nothing of processes. Its process
 * cannot be told from a later one of the same number, and a store that is killed there would
 * never start again, for its own lock: such a lock holds nobody off.
 */
function isAlive({ pid, startedAt, boot }: Owner): boolean {
  if (startedAt === '' || boot !== readText(BOOT_FILE)) return false;
  try {
    process.kill(pid, 0);
  } catch (error) {
    // Not ours to signal, but there.
    const isThere = error instanceof Error && 'code' in error && error.code === 'EPERM';
    if (!isThere) return false;
  }
  return startedAt === startOf(pid);
}

interface FoundLock {
  readonly name: string;
  readonly number: number;
  /** Undefined for one that cannot be read: cut off with its machine, or still being written. */
  readonly owner: Owner | undefined;
}

function findLiving(locks: readonly FoundLock[]): Owner | undefined {
  return locks.flatMap(({ owner }) => owner ?? []).find(isAlive);
}

async function findLocks(fileSystem: FileSystem, folder: string): Promise<FoundLock[]> {
  const found: FoundLock[] = [];
  for (const name of await fileSystem.list(folder)) {
    const number = LOCK_NAME.exec(name)?.[1];
    if (number === undefined) continue;
    const content = await fileSystem.read(join(folder, name));
    const frame = content ? decodeFrame(content, 0) : undefined;
    found.push({ name, number: Number(number), owner: frame?.value as Owner | undefined });
  }
  return found;
}

export class FolderLock {
  private constructor(
    private readonly fileSystem: FileSystem,
    private readonly path: string,
  ) {}

  /** Takes the lock, or throws if a living process has it. */
  static async acquire(fileSystem: FileSystem, folder: string): Promise<FolderLock> {
    const before = await findLocks(fileSystem, folder);
    const holder = findLiving(before);
    if (holder !== undefined) throw makeFolderLockedError(folder, holder.pid);
    const number = Math.max(0, ...before.map((lock) => lock.number)) + 1;
    const name = `lock-${number}`;
    const path = join(folder, name);
    const { pid } = process;
    const owner: Owner = { pid, startedAt: startOf(pid), boot: readText(BOOT_FILE) };
    const temporary = join(folder, `taking-${pid}-${number}`);
    const file = await fileSystem.open(temporary);
    await file.write(encodeFrame(owner), 0);
    await file.close();
    const taken = await fileSystem.link(temporary, path);
    await fileSystem.remove(temporary);
    const others = (await findLocks(fileSystem, folder)).filter((lock) => lock.name !== name);
    const rival = findLiving(others);
    if (!taken || rival !== undefined) {
      if (taken) await fileSystem.remove(path);
      throw makeFolderLockedError(folder, rival?.pid ?? 0);
    }
    for (const stale of others) await fileSystem.remove(join(folder, stale.name));
    return new FolderLock(fileSystem, path);
  }

  async release(): Promise<void> {
    await this.fileSystem.remove(this.path);
  }
}
