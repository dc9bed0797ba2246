/** Opens a store's disk, with its notices written to the log, and ends the process of a failed store. */
import { setTimeout as wait } from 'node:timers/promises';
import {
  describeError,
  endProcess,
  exitCodes,
  settlesWithin,
  type Logger,
  type Settlement,
} from '@hornbeampond/runtime';
import type { Milliseconds, StoreSettings } from '@hornbeampond/schema';
import { FolderDisk } from './FolderDisk.js';
import type { StoreFailure, StoreProcess } from './StoreProcess.js';

export function openFolderDisk(settings: StoreSettings, logger: Logger): FolderDisk {
  const { instance, cluster, dataFolder } = settings;
  return new FolderDisk({
    folder: dataFolder,
    cluster,
    instance,
    onNotice: ({ type, ...fields }) => {
      const events = {
        opened: 'logOpened',
        tornTailCut: 'tornTailCut',
        diskFull: 'diskFull',
      } as const;
      logger.write(events[type], fields);
    },
  });
}

/**
 * For the parts of a failed store to close, all together. A store whose disk takes writes again ends soon:
 * supervisors that excuse an end by a fault of the machine do so for about a second after it.
 */
const closeMilliseconds: Readonly<Record<StoreFailure, Milliseconds>> = {
  diskRefused: 2000,
  unexpectedError: 2000,
  diskRestored: 400,
};

const RETRY_MILLISECONDS: Milliseconds = 100;

/** Repeats work that fails until it succeeds; ends with the last failure once the time is over. */
async function repeatWithin(work: () => Promise<void>, timeout: Milliseconds): Promise<Settlement> {
  const endsAt = performance.now() + timeout;
  for (;;) {
    const settlement = await settlesWithin(work(), Math.max(0, endsAt - performance.now()));
    const isOver = performance.now() + RETRY_MILLISECONDS > endsAt;
    if (settlement.type !== 'failed' || isOver) return settlement;
    await wait(RETRY_MILLISECONDS);
  }
}

function logUnlessDone(
  logger: Logger,
  part: string,
  settlement: Settlement,
  timeout: Milliseconds,
): void {
  if (settlement.type === 'done') return;
  const reason = settlement.type === 'failed' ? describeError(settlement.error) : 'timedOut';
  logger.write('storePartNotClosed', { part, reason, timeout });
}

/**
 * Closes the store and ends the process within a bounded time, whatever hangs; its supervisor is
 * expected to restart it. Nothing that was acknowledged waits for this: it was synced before.
 *
 * A refused disk gets a new identity first, so that the store joins as an empty one and votes on
 * nothing that its disk has lost. The folder gets it only after all writes have ended and the lock is
 * released. Where that does not happen in time, the old identity stays, and the next run of the process
 * has to be refused again before it is renewed.
 */
export async function stopFailedStore(
  store: StoreProcess,
  disk: FolderDisk,
  failure: StoreFailure,
  logger: Logger,
): Promise<void> {
  const timeout = closeMilliseconds[failure];
  const closingServers = settlesWithin(store.closeServers(), timeout);
  const closingDisk = repeatWithin(async () => store.closeDisk(), timeout);
  const [servers, closed] = await Promise.all([closingServers, closingDisk]);
  logUnlessDone(logger, 'servers', servers, timeout);
  logUnlessDone(logger, 'disk', closed, timeout);
  let hasStalledWork = closed.type === 'timedOut';
  if (failure === 'diskRefused' && closed.type === 'done') {
    const renewed = await repeatWithin(async () => disk.resetIdentity(), timeout);
    logUnlessDone(logger, 'identity', renewed, timeout);
    hasStalledWork = renewed.type === 'timedOut';
  }
  await endProcess(exitCodes.failed, hasStalledWork);
}
