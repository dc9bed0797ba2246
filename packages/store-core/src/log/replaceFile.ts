/**
 * Replaces and reads small files that hold one frame. The replacement is atomic: after a crash the
 * file holds either the old or the new content. The folder is synced as well, because otherwise the
 * old content could reappear after the replacement was reported as done.
 */
import { join } from 'node:path';
import type { FileSystem } from './FileSystem.js';
import { decodeFrame, encodeFrame } from './frames.js';
import { makeDamagedLogError } from './logErrors.js';

const TEMPORARY_SUFFIX = '.tmp';

export async function replaceFile(
  fileSystem: FileSystem,
  folder: string,
  name: string,
  value: unknown,
): Promise<void> {
  const path = join(folder, name);
  const temporaryPath = `${path}${TEMPORARY_SUFFIX}`;
  await fileSystem.remove(temporaryPath);
  const file = await fileSystem.open(temporaryPath);
  try {
    await file.write(encodeFrame(value), 0);
    await file.sync();
  } finally {
    await file.close();
  }
  await fileSystem.rename(temporaryPath, path);
  await fileSystem.syncFolder(folder);
}

/** Reads a file written by `replaceFile`; returns undefined if it is missing, throws if damaged. */
export async function readWholeFile(
  fileSystem: FileSystem,
  folder: string,
  name: string,
): Promise<unknown> {
  const content = await fileSystem.read(join(folder, name));
  if (content === undefined) return undefined;
  const frame = decodeFrame(content, 0);
  if (frame === undefined || frame.endOffset !== content.length) throw makeDamagedLogError(name, 0);
  return frame.value;
}
