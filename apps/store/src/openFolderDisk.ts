/** The disk of a store, with its notices in the log, and the end of a store that cannot go on. */
import { exitCodes, type Logger } from '@hornbeampond/runtime';
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
 * Ends the process; whoever keeps it running starts it again. A refused disk is given a new
 * identity first, so that it joins as an empty one and votes on nothing that it no longer knows.
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
    process.exit(exitCodes.failed);
  }
}
