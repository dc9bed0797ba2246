/**
 * Errors of the log on disk. Each of them keeps the store from starting or the log from accepting
 * writes; none is repaired automatically.
 */
import { HornbeampondError } from '@hornbeampond/schema';

/** A file is damaged, missing or of another store; acknowledged entries or votes may be lost. */
export function makeDamagedLogError(
  file: string,
  offset: number,
  reason = 'the checksum does not match',
): HornbeampondError {
  const message = `The log is damaged in ${file} at offset ${offset}: ${reason}`;
  return new HornbeampondError('internalError', message);
}

/** Another process uses the data folder; `pid` is 0 if it is not known. */
export function makeFolderLockedError(folder: string, pid: number): HornbeampondError {
  const message = `Process ${pid} uses the data folder ${folder}`;
  return new HornbeampondError('internalError', message);
}

/** A write has failed and no more are accepted. What was acknowledged before is on disk. */
export function makeReadOnlyLogError(reason: string, cause: unknown): HornbeampondError {
  return new HornbeampondError('storeUnavailable', `The log is read-only: ${reason}`, {}, cause);
}
