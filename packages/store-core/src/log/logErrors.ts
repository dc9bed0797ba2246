/** Errors of the log on disk. Each stops the store or its writes; none is repaired by guessing. */
import { HornbeampondError } from '@hornbeampond/schema';

/** A file is damaged, or one is missing. The store must stop: what it promised may be gone. */
export function makeDamagedLogError(
  file: string,
  offset: number,
  reason = 'the checksum does not match',
): HornbeampondError {
  const message = `The log is damaged in ${file} at offset ${offset}: ${reason}`;
  return new HornbeampondError('internalError', message);
}

/** Another process uses the folder. */
export function makeFolderLockedError(folder: string, pid: number): HornbeampondError {
  const message = `Process ${pid} uses the data folder ${folder}`;
  return new HornbeampondError('internalError', message);
}

/** The disk takes no more writes. What was acknowledged before is safe. */
export function makeReadOnlyLogError(reason: string, cause: unknown): HornbeampondError {
  return new HornbeampondError('storeUnavailable', `The log is read-only: ${reason}`, {}, cause);
}
