/**
 * Ensures that only one process at a time uses a data folder. Each lock is a numbered file that
 * identifies its process. A process writes its lock completely before it checks for others, so that
 * of two that start together at least one finds the other. A stale lock is not overwritten: the new
 * one gets the next number and the stale one is removed afterwards, so that two processes that both
 * find it stale cannot remove each other's new lock.
 */
import { readFileSync } from 'node:fs';
import { join } from 'node:path';
import type { FileSystem } from './FileSystem.js';
import { decodeFrame, encodeFrame } from './frames.js';
import { makeFolderLockedError } from './logErrors.js';

interface LockOwner {
  readonly pid: number;
  /**
   * Start time of the process in clock ticks since boot, which distinguishes it from a later
   * process with the same pid. Empty where `/proc` does not exist.
   */
  readonly startedAt: string;
  readonly boot: string;
}

const LOCK_NAME_PATTERN = /^lock-(\d+)$/;
const BOOT_FILE = '/proc/sys/kernel/random/boot_id';
/** Position of the start time among the fields after the process name in `/proc/PID/stat`. */
const START_TIME_FIELD_INDEX = 19;

function readTextOrEmpty(path: string): string {
  try {
    return readFileSync(path, 'utf8').trim();
  } catch {
    return '';
  }
}

function readStartTime(pid: number): string {
  const statusLine = readTextOrEmpty(`/proc/${pid}/stat`);
  const fields = statusLine.slice(statusLine.lastIndexOf(')') + 2).split(' ');
  return fields[START_TIME_FIELD_INDEX] ?? '';
}

/**
 * True if the process that took a lock still runs. A lock without a start time counts as stale. If
 * it counted as held, a later process with the same pid could keep a killed store from ever
 * starting again.
 */
function isRunning({ pid, startedAt, boot }: LockOwner): boolean {
  if (startedAt === '' || boot !== readTextOrEmpty(BOOT_FILE)) return false;
  try {
    process.kill(pid, 0);
  } catch (error) {
    // The process exists, but belongs to another user.
    const isOtherUsers = error instanceof Error && 'code' in error && error.code === 'EPERM';
    if (!isOtherUsers) return false;
  }
  return startedAt === readStartTime(pid);
}

interface FoundLock {
  readonly name: string;
  readonly number: number;
  /**
   * Undefined if the file is incomplete: truncated by a crash, or still being copied on a file
   * system without hard links.
   */
  readonly owner: LockOwner | undefined;
}

function findRunningOwner(locks: readonly FoundLock[]): LockOwner | undefined {
  return locks.flatMap(({ owner }) => owner ?? []).find(isRunning);
}

async function findLocks(fileSystem: FileSystem, folder: string): Promise<FoundLock[]> {
  const found: FoundLock[] = [];
  for (const name of await fileSystem.list(folder)) {
    const number = LOCK_NAME_PATTERN.exec(name)?.[1];
    if (number === undefined) continue;
    const content = await fileSystem.read(join(folder, name));
    const frame = content ? decodeFrame(content, 0) : undefined;
    found.push({ name, number: Number(number), owner: frame?.value as LockOwner | undefined });
  }
  return found;
}

export class FolderLock {
  private constructor(
    private readonly fileSystem: FileSystem,
    private readonly path: string,
  ) {}

  /** Acquires the lock, or throws if another process holds one or acquires one at the same time. */
  static async acquire(fileSystem: FileSystem, folder: string): Promise<FolderLock> {
    const existingLocks = await findLocks(fileSystem, folder);
    const runningOwner = findRunningOwner(existingLocks);
    if (runningOwner !== undefined) throw makeFolderLockedError(folder, runningOwner.pid);
    const number = Math.max(0, ...existingLocks.map((lock) => lock.number)) + 1;
    const name = `lock-${number}`;
    const path = join(folder, name);
    const { pid } = process;
    const owner: LockOwner = {
      pid,
      startedAt: readStartTime(pid),
      boot: readTextOrEmpty(BOOT_FILE),
    };
    const temporaryPath = join(folder, `taking-${pid}-${number}`);
    const file = await fileSystem.open(temporaryPath);
    await file.write(encodeFrame(owner), 0);
    await file.close();
    const isLinked = await fileSystem.link(temporaryPath, path);
    await fileSystem.remove(temporaryPath);
    const otherLocks = (await findLocks(fileSystem, folder)).filter((lock) => lock.name !== name);
    const rivalOwner = findRunningOwner(otherLocks);
    if (!isLinked || rivalOwner !== undefined) {
      if (isLinked) await fileSystem.remove(path);
      throw makeFolderLockedError(folder, rivalOwner?.pid ?? 0);
    }
    for (const staleLock of otherLocks) await fileSystem.remove(join(folder, staleLock.name));
    return new FolderLock(fileSystem, path);
  }

  async release(): Promise<void> {
    await this.fileSystem.remove(this.path);
  }
}
