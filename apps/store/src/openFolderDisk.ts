/** Opens a store's disk, with its notices written to the log, and ends the process of a failed store. */
import { endProcess, exitCodes, type Logger } from '@hornbeampond/runtime';
import type { StoreSettings } from '@hornbeampond/schema';
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
 * Closes the store and ends the process, which its supervisor is expected to restart. A refused disk
 * gets a new identity first, so that the store joins as an empty one and votes on nothing that its
 * disk has lost.
 */
export async function stopFailedStore(
  store: StoreProcess,
  disk: FolderDisk,
  failure: StoreFailure,
): Promise<void> {
  try {
    await store.close();
    if (failure === 'diskRefused') await disk.resetIdentity();
  } finally {
    await endProcess(exitCodes.failed);
  }
}
