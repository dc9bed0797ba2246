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

interface LockOwner {
  readonly pid: number;
  /** When the process started, as the kernel counts; a reused pid has another. */
  readonly startedAt: string;
  readonly boot: string;
}

const LOCK_NAME_PATTERN = /^lock-(\d+)$/;
const BOOT_FILE = '/proc/sys/kernel/random/boot_id';
/** Position of the start time behind the process name in the kernel's status line. */
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
 * A lock without a start time was taken where the kernel tells nothing of processes. Its process
 * cannot be told from a later one of the same number, and a store that is killed there would
 * never start again, for its own lock: such a lock holds nobody off.
 */
function isRunning({ pid, startedAt, boot }: LockOwner): boolean {
  if (startedAt === '' || boot !== readTextOrEmpty(BOOT_FILE)) return false;
  try {
    process.kill(pid, 0);
  } catch (error) {
    // Not ours to signal, but there.
    const isOtherUsers = error instanceof Error && 'code' in error && error.code === 'EPERM';
    if (!isOtherUsers) return false;
  }
  return startedAt === readStartTime(pid);
}

interface FoundLock {
  readonly name: string;
  readonly number: number;
  /** Undefined for one that cannot be read: cut off with its machine, or still being written. */
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

  /** Takes the lock, or throws if a living process has it. */
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
